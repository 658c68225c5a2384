//! Whether a target or an entry is leaving; once announced, it holds for that incarnation.

use camphorweir_wire::ids::Incarnation;

/// Whether a process is leaving, from the platform's list and from announcements.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Whether the platform's list shows the process as leaving, or lacks it.
    listed: bool,
    /// The announcement by the process itself, or by a peer that received it. It outweighs a list
    /// that still shows the process as live, since the list may lag.
    announced: Option<Announcement>,
}

/// Which process announced that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announcement {
    /// The process with this incarnation; the announcement does not hold for another one.
    Incarnation(Incarnation),
    /// A process that sends no incarnation. The announcement ends once the list has shown the
    /// process as leaving or gone, and then as live again.
    Unnamed {
        /// Whether the list has shown the process as leaving or gone since the announcement.
        listed_since: bool,
    },
}

impl State {
    /// Whether the process is leaving and gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.listed || self.announced.is_some()
    }

    /// Notes that the platform's list shows the process as live.
    pub fn mark_listed_live(&mut self) {
        self.listed = false;
        if self.announced == Some(Announcement::Unnamed { listed_since: true }) {
            self.announced = None;
        }
    }

    /// Notes that the platform's list shows the process as leaving, or no longer shows it.
    pub fn mark_listed_leaving(&mut self) {
        self.listed = true;
        if let Some(Announcement::Unnamed { listed_since }) = &mut self.announced {
            *listed_since = true;
        }
    }

    /// Notes that the process with this incarnation announced that it is leaving.
    pub fn mark_announced(&mut self, incarnation: Incarnation) {
        self.announced = Some(Announcement::Incarnation(incarnation));
    }

    /// Notes that a process that sends no incarnation announced that it is leaving.
    pub fn mark_announced_unnamed(&mut self) {
        if self.announced.is_none() {
            self.announced = Some(Announcement::Unnamed {
                listed_since: self.listed,
            });
        }
    }

    /// Notes that the process with this incarnation is in service, which ends the announcement of
    /// an earlier one.
    ///
    /// The list may still show the earlier process, so its state is dropped, too, until the list is
    /// read again.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if let Some(Announcement::Incarnation(earlier)) = self.announced
            && earlier != incarnation
        {
            self.announced = None;
            self.listed = false;
        }
    }

    /// The incarnation that announced that it is leaving, to report to peers.
    pub fn incarnation(&self) -> Option<Incarnation> {
        match self.announced {
            Some(Announcement::Incarnation(incarnation)) => Some(incarnation),
            _ => None,
        }
    }
}
