//! What a call says about the open connections, and when it is sent again.

use std::time::Duration;

use parsleywall::http::service_connections::CallKind;
use parsleywall::http::service_connections::CallOutcome;
use parsleywall::http::service_connections::ConnectionVerdict;
use parsleywall::http::service_connections::RepeatDelay;

const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Guards against connections that stay in use after a call has shown that they may be dead (issue 41).
#[test]
fn test_connections_are_kept_unless_a_call_shows_them_dead() {
    use CallOutcome::*;
    for kind in [CallKind::Repeatable, CallKind::Once, CallKind::Waiting] {
        let verdict = |outcome| ConnectionVerdict::new(kind, outcome);
        assert_eq!(verdict(Answered), ConnectionVerdict::Keep, "{kind:?}");
        for outcome in [AnsweredByRepeat, NotConnected, Silent] {
            let verdict = verdict(outcome);
            assert_eq!(verdict, ConnectionVerdict::Discard, "{kind:?} {outcome:?}");
        }
        let broken = match kind {
            CallKind::Waiting => ConnectionVerdict::Keep,
            _ => ConnectionVerdict::Discard,
        };
        assert_eq!(verdict(Broken), broken, "{kind:?}");
    }
}

/// Guards against a second request for each call while a service is slow, and against a late one while it is fast.
#[test]
fn test_repeat_delay_follows_response_times() {
    let mut delay = RepeatDelay::default();
    let least = delay.get(TIMEOUT);
    assert_eq!(least, Duration::from_millis(250));
    delay.record(Duration::from_millis(2));
    assert_eq!(delay.get(TIMEOUT), least);
    for _ in 0..20 {
        delay.record(Duration::from_millis(200));
    }
    assert!(delay.get(TIMEOUT) > Duration::from_millis(550));
    for _ in 0..20 {
        delay.record(Duration::from_secs(1));
    }
    assert_eq!(delay.get(TIMEOUT), TIMEOUT / 2);
}
