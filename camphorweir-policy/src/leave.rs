//! Whether a target or an entry is leaving; sticky for one incarnation.

use camphorweir_wire::ids::Incarnation;

/// What is known of a process's leaving.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The platform's list says so now.
    listed: bool,
    /// The process itself, or a peer that heard it, says so; a list that still says live is late.
    said: Option<Said>,
}

/// Who said that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Said {
    /// This incarnation; another one is new.
    Incarnation(Incarnation),
    /// A process that does not tell its incarnation; over once the list has shown it leaving or gone
    /// and then live again.
    Unnamed {
        /// Whether the list has shown it leaving or gone since.
        seen: bool,
    },
}

impl State {
    /// Whether it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.listed || self.said.is_some()
    }

    /// The platform's list shows it live.
    pub fn list_live(&mut self) {
        self.listed = false;
        if self.said == Some(Said::Unnamed { seen: true }) {
            self.said = None;
        }
    }

    /// The platform's list shows it leaving, or no longer shows it.
    pub fn list_leaving(&mut self) {
        self.listed = true;
        if let Some(Said::Unnamed { seen }) = &mut self.said {
            *seen = true;
        }
    }

    /// A process that tells its incarnation says that it is leaving.
    pub fn say(&mut self, incarnation: Incarnation) {
        self.said = Some(Said::Incarnation(incarnation));
    }

    /// A process that does not tell its incarnation says that it is leaving.
    pub fn say_unnamed(&mut self) {
        if self.said.is_none() {
            self.said = Some(Said::Unnamed { seen: self.listed });
        }
    }

    /// A process of this incarnation is in service; what an earlier one said is over.
    ///
    /// The list may still show the earlier one, so its word is dropped, too, until it repeats it.
    pub fn greet(&mut self, incarnation: Incarnation) {
        if let Some(Said::Incarnation(old)) = self.said
            && old != incarnation
        {
            self.said = None;
            self.listed = false;
        }
    }

    /// The incarnation that said so, for telling peers.
    pub fn incarnation(&self) -> Option<Incarnation> {
        match self.said {
            Some(Said::Incarnation(incarnation)) => Some(incarnation),
            _ => None,
        }
    }
}
