//! Decides what the entry of a host's name means for one process of that name.
//!
//! At most one process of a name acts. The key-value service orders their starts: writing the entry over
//! that of another process is a start, and the later start wins. A process that another one has replaced
//! is displaced for good.

use crate::edges::kv::KvVersion;
use crate::registry::entry::HostEntry;

/// Identity of one process among all processes of a host's name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostProcess {
    /// Start time in milliseconds since the Unix epoch, by the clock of the process.
    pub(crate) incarnation: u64,
    /// Random number of the process; 0 if it runs an earlier release, which has none.
    pub(crate) process: u64,
}

impl HostProcess {
    /// Whether both are the same process. Two may have started in the same millisecond, so that the
    /// random numbers decide, unless one of the two has none.
    pub(crate) fn is_same(self, other: Self) -> bool {
        match (self.process, other.process) {
            (0, _) | (_, 0) => self.incarnation == other.incarnation,
            (own, other) => own == other,
        }
    }
}

/// Hold of a process on the name of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NameHold {
    /// The key-value service has not acknowledged an entry of this process yet.
    Starting,
    /// The entry of this process was stored, last with this version.
    Held(KvVersion),
    /// Another process has started after this one.
    Displaced,
}

/// Entry of a host's name, as an up-to-date read shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FoundEntry {
    /// There is none.
    Absent,
    /// A value of this version that is no entry.
    Malformed(KvVersion),
    /// The entry of a process, with its version.
    Process(HostEntry, KvVersion),
}

/// What a process does about the entry of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NameStep {
    /// It writes its entry, if the key still has this version; `None`: if it is still absent.
    Write(Option<KvVersion>),
    /// It starts: it writes its entry over that of an earlier process, if that still has this version.
    Replace(HostEntry, KvVersion),
    /// The entry is its own and has this version.
    Adopt(HostEntry, KvVersion),
    /// It is displaced by the process of this entry.
    Yield(HostEntry),
}

/// Decides what the process `own` does after an up-to-date read has found `found`.
pub(crate) fn next_step(hold: NameHold, own: HostProcess, found: FoundEntry) -> NameStep {
    match (found, hold) {
        (FoundEntry::Absent, _) => NameStep::Write(None),
        (FoundEntry::Malformed(version), _) => NameStep::Write(Some(version)),
        (FoundEntry::Process(entry, version), _) if entry.process_id().is_same(own) => {
            NameStep::Adopt(entry, version)
        }
        // Before its start was acknowledged, the process has acted on nothing, so that it may still
        // come after whichever process has the name.
        (FoundEntry::Process(entry, version), NameHold::Starting) => {
            NameStep::Replace(entry, version)
        }
        (FoundEntry::Process(entry, _), NameHold::Held(_) | NameHold::Displaced) => {
            NameStep::Yield(entry)
        }
    }
}

/// What a process concludes from a listing of all entries, which may be seconds old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingStep {
    /// Nothing, as the listing may be older than its own entry, or agrees with it.
    Ignore,
    /// Its entry has this version: a write of its own was executed late.
    Adopt(KvVersion),
    /// Another process seems to have replaced it; an up-to-date read has to confirm that.
    Confirm,
    /// Its entry was deleted.
    Rewrite,
}

/// Decides what a listing of the revision `revision` means for the process `own`, whose name has the
/// entry `listed` in it.
pub(crate) fn read_listing(
    hold: NameHold,
    own: HostProcess,
    listed: Option<(HostProcess, KvVersion)>,
    revision: KvVersion,
) -> ListingStep {
    let NameHold::Held(held) = hold else {
        return ListingStep::Ignore;
    };
    match listed {
        Some((_, version)) if version <= held => ListingStep::Ignore,
        Some((process, version)) if process.is_same(own) => ListingStep::Adopt(version),
        Some(_) => ListingStep::Confirm,
        None if revision < held => ListingStep::Ignore,
        None => ListingStep::Rewrite,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::registry::entry::HostReadiness;

    const OWN: HostProcess = HostProcess {
        incarnation: 7,
        process: 70,
    };
    const HELD: NameHold = NameHold::Held(KvVersion(5));

    fn entry(incarnation: u64, process: u64) -> HostEntry {
        HostEntry {
            host: "a".to_owned(),
            incarnation,
            process,
            lease: None,
            replaced: Vec::new(),
            data_centre: "west".to_owned(),
            callers: None,
            peers: "127.0.0.1:1".parse().unwrap(),
            state: HostReadiness::Ready,
        }
    }

    fn found(incarnation: u64, process: u64, version: u64) -> FoundEntry {
        FoundEntry::Process(entry(incarnation, process), KvVersion(version))
    }

    fn listed(incarnation: u64, process: u64, version: u64) -> Option<(HostProcess, KvVersion)> {
        let process = HostProcess {
            incarnation,
            process,
        };
        Some((process, KvVersion(version)))
    }

    #[test]
    fn test_next_step_on_a_free_name() {
        for hold in [NameHold::Starting, HELD] {
            assert_eq!(
                next_step(hold, OWN, FoundEntry::Absent),
                NameStep::Write(None)
            );
            let malformed = FoundEntry::Malformed(KvVersion(3));
            let step = next_step(hold, OWN, malformed);
            assert_eq!(step, NameStep::Write(Some(KvVersion(3))));
        }
    }

    #[test]
    fn test_next_step_on_own_entry() {
        for hold in [NameHold::Starting, HELD] {
            let step = next_step(hold, OWN, found(7, 70, 9));
            assert_eq!(step, NameStep::Adopt(entry(7, 70), KvVersion(9)));
        }
    }

    #[test]
    fn test_next_step_replaces_only_before_the_start_is_acknowledged() {
        // The same millisecond, a clock set back, and an earlier release.
        for (incarnation, process) in [(7, 71), (9, 71), (3, 71), (3, 0)] {
            let other = entry(incarnation, process);
            let other_found = || found(incarnation, process, 4);
            assert_eq!(
                next_step(NameHold::Starting, OWN, other_found()),
                NameStep::Replace(other.clone(), KvVersion(4))
            );
            for hold in [HELD, NameHold::Displaced] {
                let step = next_step(hold, OWN, other_found());
                assert_eq!(step, NameStep::Yield(other.clone()));
            }
        }
    }

    #[test]
    fn test_is_same_by_the_incarnation_if_a_number_is_unknown() {
        let process = |incarnation, process| HostProcess {
            incarnation,
            process,
        };
        assert!(OWN.is_same(process(8, 70)));
        assert!(!OWN.is_same(process(7, 71)));
        assert!(OWN.is_same(process(7, 0)));
        assert!(!process(6, 0).is_same(OWN));
    }

    #[test]
    fn test_read_listing_ignores_what_is_older_than_the_own_entry() {
        let later = KvVersion(8);
        assert_eq!(
            read_listing(HELD, OWN, listed(3, 30, 4), later),
            ListingStep::Ignore
        );
        assert_eq!(
            read_listing(HELD, OWN, None, KvVersion(4)),
            ListingStep::Ignore
        );
        assert_eq!(
            read_listing(HELD, OWN, listed(7, 70, 5), later),
            ListingStep::Ignore
        );
    }

    #[test]
    fn test_read_listing_of_later_states() {
        let later = KvVersion(8);
        assert_eq!(
            read_listing(HELD, OWN, listed(3, 30, 6), later),
            ListingStep::Confirm
        );
        assert_eq!(
            read_listing(HELD, OWN, listed(7, 70, 6), later),
            ListingStep::Adopt(KvVersion(6))
        );
        assert_eq!(read_listing(HELD, OWN, None, later), ListingStep::Rewrite);
        for hold in [NameHold::Starting, NameHold::Displaced] {
            assert_eq!(
                read_listing(hold, OWN, listed(3, 30, 6), later),
                ListingStep::Ignore
            );
            assert_eq!(read_listing(hold, OWN, None, later), ListingStep::Ignore);
        }
    }
}
