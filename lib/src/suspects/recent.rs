//! Recently seen subjects, in bounded memory.

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::suspects::crash::CrashSubject;

/// Most subjects in one generation; two are kept.
const GENERATION_SIZE: usize = 8_192;

/// When subjects were last seen. Keeps at least the last [`GENERATION_SIZE`] distinct subjects.
#[derive(Debug, Default)]
pub(crate) struct RecentSubjects {
    current: HashMap<CrashSubject, Instant>,
    previous: HashMap<CrashSubject, Instant>,
}

impl RecentSubjects {
    /// When `subject` was last seen; `None` if never, or too long ago.
    pub(crate) fn last_seen(&self, subject: CrashSubject) -> Option<Instant> {
        let current = self.current.get(&subject);
        current.or_else(|| self.previous.get(&subject)).copied()
    }

    /// Records that `subject` was seen at `at`.
    pub(crate) fn record(&mut self, subject: CrashSubject, at: Instant) {
        let at = self.last_seen(subject).map_or(at, |known| known.max(at));
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&subject) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(subject, at);
    }
}
