//! Tests of how hosts agree on the latest run of a stream when their messages are late, lost, repeated or
//! out of order.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use proptest::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::balancer::HostDatagram;
use crate::ids::RequestId;
use crate::ids::SoftwareVersion;
use crate::origins::EndableBody;
use crate::origins::HostTag;
use crate::origins::OriginKeeper;
use crate::origins::OriginNotice;
use crate::origins::RunBefore;
use crate::origins::RunRegistration;
use crate::origins::StreamHolder;
use crate::origins::StreamOrigin;
use crate::origins::StreamRun;
use crate::origins::StreamTag;
use crate::origins::TakeUpNotice;
use crate::origins::TakeUpOutcome;
use crate::origins::TakeUpReply;
use crate::origins::run::RunHandle;

const HOSTS: usize = 6;
const REGISTRARS: usize = 3;
/// Host that begins the stream; it is none of its registrars.
const FIRST: usize = 5;

#[derive(Clone, Debug)]
enum Message {
    Origins(OriginNotice),
    TakeUp(TakeUpNotice),
    Reply(TakeUpReply),
}

/// Hosts that run one stream, and the messages between them that have not arrived.
struct RunFleet {
    keepers: Vec<OriginKeeper>,
    runs: Vec<(usize, RunRegistration)>,
    messages: Vec<(usize, Message)>,
}

fn tag() -> StreamTag {
    StreamTag::new(&RequestId::new("r1"))
}

fn version() -> SoftwareVersion {
    SoftwareVersion::new("v1")
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

impl RunFleet {
    /// Returns hosts of which [`FIRST`] has begun the stream.
    fn new() -> Self {
        let mut fleet = Self {
            keepers: (0..HOSTS)
                .map(|host| OriginKeeper::new(&name(host)))
                .collect(),
            runs: Vec::new(),
            messages: Vec::new(),
        };
        let service = crate::ids::ServiceName::new("desk");
        fleet.keepers[FIRST].record_begun(tag(), &service, &version());
        let first = fleet.keepers[FIRST].register_first(tag());
        fleet.runs.push((FIRST, first));
        fleet.collect_messages();
        fleet
    }

    fn host(tag: HostTag) -> usize {
        let mut hosts = 0..HOSTS;
        hosts
            .find(|host| HostTag::new(&name(*host)) == tag)
            .unwrap()
    }

    /// Hosts that are told of a run at `host`.
    fn registrars(host: usize) -> impl Iterator<Item = usize> {
        (0..HOSTS)
            .filter(move |other| *other != host)
            .take(REGISTRARS)
    }

    fn collect_messages(&mut self) {
        for (host, keeper) in self.keepers.iter().enumerate() {
            for notice in keeper.take_notices() {
                let told = Self::registrars(host);
                let sent = told.map(|other| (other, Message::Origins(notice.clone())));
                self.messages.extend(sent);
            }
            for (to, notice) in keeper.take_take_ups() {
                self.messages
                    .push((Self::host(to), Message::TakeUp(notice)));
            }
        }
    }

    /// Takes the stream up at `host`, which has heard what its registrars know if it asks them.
    fn take_up(&mut self, host: usize, asks: bool) -> RunBefore {
        if asks && self.keepers[host].find(tag()).is_none() {
            for registrar in Self::registrars(host) {
                let reply = self.keepers[registrar].reply(tag(), &name(registrar));
                if let (Some(version), Some(holder)) = (&reply.version, reply.holder()) {
                    self.keepers[host].apply(&OriginNotice {
                        origins: vec![StreamOrigin(tag(), version.clone())],
                        host: Some(holder.host),
                        run: Some(holder.run),
                    });
                }
            }
        }
        let id = RequestId::new(format!("t{}", self.runs.len()));
        let (run, before) = self.keepers[host].take_up(tag(), &id, &version());
        if let RunBefore::At(to) = before {
            let holder = StreamHolder {
                host: HostTag::new(&name(host)),
                run: run.run(),
            };
            let notice = TakeUpNotice::new(tag(), holder);
            self.messages
                .push((Self::host(to), Message::TakeUp(notice)));
        }
        self.runs.push((host, run));
        self.collect_messages();
        before
    }

    fn deliver(&mut self, to: usize, message: Message) {
        match message {
            Message::Origins(notice) => self.keepers[to].apply(&notice),
            Message::TakeUp(notice) => {
                if let Some(reply) = self.keepers[to].apply_take_up(&notice) {
                    let from = Self::host(notice.host);
                    self.messages.push((from, Message::Reply(reply)));
                }
            }
            Message::Reply(reply) => self.keepers[to].apply_take_up_reply(&reply),
        }
        self.collect_messages();
    }

    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            let (to, message) = self.messages.remove(0);
            self.deliver(to, message);
        }
    }

    /// Number of the runs that have not been ended, in the order in which they began.
    fn live(&self) -> Vec<usize> {
        let runs = self.runs.iter().enumerate();
        let is_live = |run: &RunRegistration| run.handle().run_end().cause().is_none();
        runs.filter(|(_, (_, run))| is_live(run))
            .map(|(number, _)| number)
            .collect()
    }

    /// Number of the run that all hosts agree to be the latest.
    fn latest(&self) -> usize {
        let runs = self.runs.iter().enumerate();
        let latest = runs.max_by_key(|(_, (_, run))| run.run());
        latest.map_or(0, |(number, _)| number)
    }
}

#[derive(Clone, Debug)]
enum Step {
    TakeUp { host: usize, asks: bool },
    Deliver(prop::sample::Index),
    Repeat(prop::sample::Index),
    Lose(prop::sample::Index),
}

fn steps(loses: bool) -> impl Strategy<Value = Vec<Step>> {
    let index = any::<prop::sample::Index>;
    let step = prop_oneof![
        1 => (0..HOSTS, any::<bool>()).prop_map(|(host, asks)| Step::TakeUp { host, asks }),
        4 => index().prop_map(Step::Deliver),
        1 => index().prop_map(Step::Repeat),
        u32::from(loses) => index().prop_map(Step::Lose),
    ];
    prop::collection::vec(step, 0..60)
}

fn play(fleet: &mut RunFleet, steps: Vec<Step>) -> Result<(), TestCaseError> {
    for step in steps {
        let count = fleet.messages.len();
        match step {
            Step::TakeUp { host, asks } => {
                fleet.take_up(host, asks);
            }
            Step::Deliver(index) if count > 0 => {
                let (to, message) = fleet.messages.remove(index.index(count));
                fleet.deliver(to, message);
            }
            Step::Repeat(index) if count > 0 => {
                let (to, message) = fleet.messages[index.index(count)].clone();
                fleet.deliver(to, message);
            }
            Step::Lose(index) if count > 0 => {
                fleet.messages.remove(index.index(count));
            }
            _ => {}
        }
        let latest = fleet.latest();
        prop_assert!(fleet.live().contains(&latest), "the latest run was ended");
    }
    Ok(())
}

proptest! {
    #[test]
    fn test_one_run_is_left_whatever_the_order_of_messages(steps in steps(false)) {
        let mut fleet = RunFleet::new();
        play(&mut fleet, steps)?;
        fleet.deliver_all();
        prop_assert_eq!(fleet.live(), [fleet.latest()]);
    }

    #[test]
    fn test_latest_run_is_never_ended_though_messages_are_lost(steps in steps(true)) {
        let mut fleet = RunFleet::new();
        play(&mut fleet, steps)?;
        fleet.deliver_all();
        prop_assert!(fleet.live().contains(&fleet.latest()));
    }
}

#[test]
fn test_late_and_repeated_notices_do_not_end_a_later_run() {
    let mut fleet = RunFleet::new();
    fleet.deliver_all();
    assert_eq!(
        fleet.take_up(1, true),
        RunBefore::At(HostTag::new(&name(FIRST)))
    );
    let earlier = fleet.messages.clone();
    fleet.deliver_all();
    assert_eq!(fleet.live(), [1]);
    assert_eq!(
        fleet.take_up(2, true),
        RunBefore::At(HostTag::new("host-1"))
    );
    let own = fleet.messages.clone();
    fleet.deliver_all();
    for (to, message) in earlier.into_iter().chain(own) {
        fleet.deliver(to, message.clone());
        fleet.deliver(2, message);
        fleet.deliver_all();
    }
    assert_eq!(fleet.live(), [2]);
}

/// Guards against streams that no registrar knows, as they began before their host knew the others.
#[test]
fn test_streams_that_run_are_told_again() {
    let keeper = OriginKeeper::new("host-0");
    let service = crate::ids::ServiceName::new("desk");
    let began = keeper.register_first(tag());
    let waiting = keeper.register_first(StreamTag::new(&RequestId::new("r2")));
    keeper.record_begun(tag(), &service, &version());
    let told = keeper.take_notices();
    assert_eq!(told.len(), 1);

    keeper.announce_again();
    assert_eq!(keeper.take_notices(), told, "r2 has no event yet");
    drop(began);
    keeper.announce_again();
    assert_eq!(keeper.take_notices(), [], "the run has ended");
    drop(waiting);
}

#[test]
fn test_take_up_at_the_host_of_the_run_before_ends_it_at_once() {
    let mut fleet = RunFleet::new();
    let before = fleet.take_up(FIRST, false);
    assert_eq!(before, RunBefore::Here { has_ended: true });
    assert_eq!(fleet.live(), [1]);
    fleet.runs.clear();
    let before = fleet.take_up(FIRST, false);
    assert_eq!(before, RunBefore::Here { has_ended: false });
}

/// The notice of the first run, which was late, is of an earlier run than the one that is known.
#[test]
fn test_late_notice_of_the_first_run_has_it_ended() {
    let mut fleet = RunFleet::new();
    let late = std::mem::take(&mut fleet.messages);
    assert_eq!(fleet.take_up(1, true), RunBefore::Unknown);
    fleet.deliver_all();
    assert_eq!(fleet.live(), [0, 1]);
    fleet.messages = late;
    fleet.deliver_all();
    assert_eq!(fleet.live(), [1]);
}

#[test]
fn test_news_of_a_host_of_an_earlier_release_ends_nothing() {
    let mut fleet = RunFleet::new();
    let notice = OriginNotice {
        origins: vec![StreamOrigin(tag(), version())],
        host: None,
        run: None,
    };
    fleet.keepers[FIRST].apply(&notice);
    fleet.keepers[1].apply(&notice);
    assert_eq!(fleet.live(), [0]);
    assert_eq!(fleet.take_up(1, true), RunBefore::Unknown);
}

/// Sends what `from` has to tell to `to`, unless it is lost, and returns the confirmation.
fn exchange(from: &OriginKeeper, to: &OriginKeeper, is_lost: bool) -> usize {
    let notices = from.take_take_ups();
    for (_, notice) in &notices {
        if is_lost {
            continue;
        }
        if let Some(reply) = to.apply_take_up(notice) {
            from.apply_take_up_reply(&reply);
        }
    }
    notices.len()
}

async fn outcome_with_losses(lost: usize) -> (TakeUpOutcome, usize) {
    let mut fleet = RunFleet::new();
    fleet.deliver_all();
    let before = fleet.take_up(1, true);
    fleet.messages.clear();
    assert_eq!(before, RunBefore::At(HostTag::new(&name(FIRST))));
    let (old, new) = (fleet.keepers[FIRST].clone(), fleet.keepers[1].clone());
    let run = fleet.runs[1].1.run();
    let displacing = new.clone();
    let displaced = tokio::spawn(async move {
        let host = HostTag::new(&name(FIRST));
        displacing.displace(tag(), run, host).await
    });
    let mut sent = 0;
    while !displaced.is_finished() {
        tokio::time::sleep(Duration::from_millis(1)).await;
        sent += exchange(&new, &old, sent < lost);
    }
    (displaced.await.unwrap(), sent)
}

#[tokio::test(start_paused = true)]
async fn test_host_before_is_told_until_it_confirms() {
    assert_eq!(outcome_with_losses(0).await, (TakeUpOutcome::Ended, 1));
    assert_eq!(outcome_with_losses(3).await, (TakeUpOutcome::Ended, 4));
    assert_eq!(outcome_with_losses(9).await, (TakeUpOutcome::Unanswered, 4));
}

/// The confirmation of the notice that ended the run was lost.
#[test]
fn test_repeated_notice_is_confirmed_as_one_that_ended_the_run() {
    let mut fleet = RunFleet::new();
    fleet.deliver_all();
    fleet.take_up(1, true);
    let run = fleet.runs[1].1.run();
    let host = HostTag::new("host-1");
    let notice = TakeUpNotice::new(tag(), StreamHolder { host, run });
    for _ in 0..2 {
        let reply = fleet.keepers[FIRST].apply_take_up(&notice).unwrap();
        assert!(reply.has_ended);
    }
    let first = fleet.runs.remove(0);
    drop(first);
    let later = StreamRun {
        turn: run.turn + 1,
        ..run
    };
    let notice = TakeUpNotice::new(tag(), StreamHolder { host, run: later });
    let reply = fleet.keepers[FIRST].apply_take_up(&notice).unwrap();
    assert!(!reply.has_ended, "it had ended for the take-up before");
}

/// Counts the bodies that exist.
struct BodyCount(Arc<AtomicUsize>);

impl BodyCount {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for BodyCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Guards against a body that outlives its run, as it is ended while another task reads it.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn test_body_is_dropped_whenever_its_run_is_ended() {
    let count = Arc::new(AtomicUsize::new(0));
    for number in 0..2_000 {
        let guard = BodyCount::new(&count);
        let parts = stream::unfold(guard, |guard| async move {
            tokio::task::yield_now().await;
            Some((Ok(Bytes::from_static(b"part")), guard))
        });
        let handle = RunHandle::default();
        let mut body = EndableBody::new(handle.clone(), parts.boxed(), ());
        let reading = tokio::spawn(async move {
            while let Some(part) = body.next().await {
                if part.is_err() {
                    return (body.next().await.is_none(), body);
                }
            }
            (false, body)
        });
        for _ in 0..number % 50 {
            tokio::task::yield_now().await;
        }
        handle.end(HostTag(1));
        let (is_broken_off, body) = reading.await.unwrap();
        assert!(is_broken_off);
        assert_eq!(count.load(Ordering::SeqCst), 0, "the body is left");
        drop(body);
    }
}

/// A body that nobody reads, and one whose reader waits for its next part.
#[tokio::test(start_paused = true)]
async fn test_body_is_dropped_while_nobody_polls_it() {
    let count = Arc::new(AtomicUsize::new(0));
    for is_read in [false, true] {
        let guard = BodyCount::new(&count);
        let parts = stream::once(async move {
            let _guard = guard;
            std::future::pending().await
        });
        let handle = RunHandle::default();
        let mut body = EndableBody::new(handle.clone(), parts.boxed(), ());
        let (held, reading) = match is_read {
            true => (None, Some(tokio::spawn(async move { body.next().await }))),
            false => (Some(body), None),
        };
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(count.load(Ordering::SeqCst), 1);
        handle.end(HostTag(1));
        assert_eq!(count.load(Ordering::SeqCst), 0);
        let part = match (held, reading) {
            (Some(mut body), _) => body.next().await,
            (None, reading) => reading.unwrap().await.unwrap(),
        };
        assert!(part.unwrap().is_err());
    }
}

/// A notice as hosts of the earlier release know it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierNotice {
    #[serde(rename = "o")]
    origins: Vec<StreamOrigin>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum EarlierDatagram {
    #[serde(rename = "o")]
    Origins(EarlierNotice),
}

#[test]
fn test_hosts_of_two_releases_understand_one_another() {
    let origins = vec![StreamOrigin(tag(), version())];
    let known = EarlierDatagram::Origins(EarlierNotice {
        origins: origins.clone(),
    });
    let run = StreamRun {
        turn: 7,
        attempt: 8,
    };
    let notice = HostDatagram::Origins(OriginNotice {
        origins: origins.clone(),
        host: Some(HostTag(9)),
        run: Some(run),
    });
    let read: EarlierDatagram = ciborium::from_reader(notice.encode().as_slice()).unwrap();
    assert_eq!(read, known);
    let mut bytes = Vec::new();
    ciborium::into_writer(&known, &mut bytes).unwrap();
    let (host, run) = (None, None);
    let notice = OriginNotice { origins, host, run };
    let expected = Some(HostDatagram::Origins(notice));
    assert_eq!(HostDatagram::decode(&bytes), expected);
    let take_up = HostDatagram::TakeUp(TakeUpNotice {
        tag: tag(),
        host: HostTag(9),
        run: StreamRun::first(tag()),
    });
    let read: Result<EarlierDatagram, _> = ciborium::from_reader(take_up.encode().as_slice());
    assert!(read.is_err(), "it is ignored");
}

/// The prices in docs/CAPACITY.md.
#[test]
fn test_sizes_of_datagrams() {
    let size = |datagram: HostDatagram| datagram.encode().len();
    let run = StreamRun {
        turn: 1_800_000_000_000,
        attempt: u64::MAX,
    };
    let tag = StreamTag(u64::MAX - 1);
    let host = HostTag(u32::MAX);
    let notice = |host, run| {
        let origins = vec![StreamOrigin(tag, SoftwareVersion::new("v1.1"))];
        HostDatagram::Origins(OriginNotice { origins, host, run })
    };
    assert_eq!(size(notice(None, None)), 22);
    assert_eq!(size(notice(Some(host), None)), 29);
    assert_eq!(size(notice(Some(host), Some(run))), 54);
    let take_up = TakeUpNotice { tag, host, run };
    assert_eq!(size(HostDatagram::TakeUp(take_up)), 47);
    let reply = TakeUpReply {
        run,
        has_ended: true,
    };
    assert_eq!(size(HostDatagram::TakeUpReply(reply)), 32);
}
