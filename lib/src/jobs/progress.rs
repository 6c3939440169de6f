//! Output of an item that is not complete yet.

use crate::ids::SoftwareVersion;
use crate::relay::StreamEvent;

/// Output of an item so far, from which a later run resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ItemProgress {
    /// Data of the events received, joined by line feeds.
    pub(crate) text: Vec<u8>,
    /// Identifier of the last event, which a later run resumes after; `None` before the first.
    pub(crate) last_id: Option<u64>,
    /// Number of events received, over all runs.
    pub(crate) events: u64,
    /// Version of the software that sent them; a later run resumes at no other.
    pub(crate) software: Option<SoftwareVersion>,
}

impl ItemProgress {
    fn push(&mut self, event: &StreamEvent) {
        if self.events > 0 {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(&event.data());
        self.last_id = Some(event.id);
        self.events += 1;
    }
}

/// Output of an item while it runs.
///
/// A faulty upstream may cut off an event and complete it with other bytes, which only shows in
/// what follows. The last event therefore counts only once another one or the end of the run
/// confirms it; an event that is left out is received again by the next run.
#[derive(Debug)]
pub(crate) struct RunProgress {
    confirmed: ItemProgress,
    last: Option<StreamEvent>,
}

impl RunProgress {
    /// Begins a run that goes on after `progress`.
    pub(crate) fn new(progress: ItemProgress) -> Self {
        Self {
            confirmed: progress,
            last: None,
        }
    }

    /// Appends an event, sent by software of this version.
    pub(crate) fn push(&mut self, event: StreamEvent, software: Option<&SoftwareVersion>) {
        self.confirm_last();
        self.confirmed.software = software.cloned();
        self.last = Some(event);
    }

    /// Number of events received, over all runs.
    pub(crate) fn events(&self) -> u64 {
        self.confirmed.events + u64::from(self.last.is_some())
    }

    /// Upper bound of the size in bytes of the output.
    pub(crate) fn text_bytes(&self) -> usize {
        let last = self.last.as_ref().map_or(0, |event| event.raw.len());
        self.confirmed.text.len() + last
    }

    /// Ends the run and returns the output, without the last event if that is doubtful.
    pub(crate) fn finish(mut self, is_last_doubtful: bool) -> ItemProgress {
        if !is_last_doubtful {
            self.confirm_last();
        }
        self.confirmed
    }

    fn confirm_last(&mut self) {
        if let Some(event) = self.last.take() {
            self.confirmed.push(&event);
        }
    }
}
