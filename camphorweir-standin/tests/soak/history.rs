//! What was done to the targets, and when.

use {std::time::Duration, tokio::time::Instant};

/// A cut or crash is seen by callers, and a new connection works, within this time after its end.
const SEEN: Duration = Duration::from_millis(500);

/// What was done to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Trouble {
    /// It crashed or was replaced, or its links were cut.
    Lost,
    /// It was silent, and went on afterwards.
    Silent,
}

#[derive(Debug)]
struct Span {
    target: usize,
    trouble: Trouble,
    from: Instant,
    /// `None` while it lasts.
    to: Option<Instant>,
}

/// All that was done.
#[derive(Debug, Default)]
pub(crate) struct History(Vec<Span>);

impl History {
    /// Records the begin of a trouble, if it does not last already; says whether it did not.
    pub(crate) fn begin(&mut self, target: usize, trouble: Trouble) -> bool {
        if self.open(target, trouble).is_some() {
            return false;
        }
        let from = Instant::now();
        let to = None;
        self.0.push(Span {
            target,
            trouble,
            from,
            to,
        });
        true
    }

    /// Records the end of a trouble.
    pub(crate) fn end(&mut self, target: usize, trouble: Trouble) {
        if let Some(span) = self.open(target, trouble) {
            span.to = Some(Instant::now());
        }
    }

    fn open(&mut self, target: usize, trouble: Trouble) -> Option<&mut Span> {
        let mut spans = self.0.iter_mut();
        spans.find(|span| {
            let is_same = (span.target, span.trouble) == (target, trouble);
            is_same && span.to.is_none()
        })
    }

    /// Whether a target was lost at some time between these.
    pub(crate) fn was_lost(&self, target: usize, from: Instant, to: Instant) -> bool {
        self.spans(target, Trouble::Lost).any(|(begin, end)| {
            let end = end.map_or(to, |end| end + SEEN);
            begin <= to && from <= end
        })
    }

    /// The longest silence of a target that began between these times.
    pub(crate) fn silence(&self, target: usize, from: Instant, to: Instant) -> Duration {
        let spans = self.spans(target, Trouble::Silent);
        let times = spans.map(|(begin, end)| (begin, end.unwrap_or(to)));
        let times = times.filter(|(begin, end)| *begin <= to && from <= *end);
        let lengths = times.map(|(begin, end)| end - begin);
        lengths.max().unwrap_or_default()
    }

    fn spans(
        &self,
        target: usize,
        trouble: Trouble,
    ) -> impl Iterator<Item = (Instant, Option<Instant>)> {
        let spans = self.0.iter();
        let spans = spans.filter(move |span| (span.target, span.trouble) == (target, trouble));
        spans.map(|span| (span.from, span.to))
    }
}
