//! Text output of `ctl status` and `ctl explain`.

use std::time::Duration;

use parsleywall::admin::CapStatus;
use parsleywall::admin::Explanation;
use parsleywall::admin::FleetStatus;
use parsleywall::admin::HostReport;
use parsleywall::admin::HostStatus;
use parsleywall::admin::UpstreamStatus;
use parsleywall::admission::LoadSnapshot;
use parsleywall::caps::CapKey;
use parsleywall::decisions::Decision;
use parsleywall::decisions::DecisionKind;
use parsleywall::edges::host_list::ListedRole;
use parsleywall::edges::host_list::ListedState;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::Revision;
use parsleywall::ids::ServiceName;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use parsleywall::ids::WorkspaceName;
use parsleywall::membership::HostState;

use crate::commands::ctl::explain::explanation_text;
use crate::commands::ctl::status::status_text;

const MAX_COLUMNS: usize = 100;

fn host(name: &str, state: HostState, report: Option<HostReport>) -> HostStatus {
    HostStatus {
        host: HostId::new(name),
        data_centre: DataCentre::new("north"),
        address: "10.1.2.3:8080".parse().unwrap(),
        state,
        report,
    }
}

fn upstream(name: &str, role: ListedRole, load: Option<(u32, u32)>) -> UpstreamStatus {
    UpstreamStatus {
        upstream: UpstreamId::new(name),
        data_centre: DataCentre::new("north"),
        address: "10.1.3.4:9000".parse().unwrap(),
        role,
        state: ListedState::Leaving,
        running: load.map(|load| load.0),
        waiting: load.map(|load| load.1),
        admission: load.map(|load| LoadSnapshot {
            limit: 32,
            online: load.0,
            batch: 18,
            online_queued: load.1,
            batch_queued: 120,
            hold: Duration::from_secs(2),
            token_time: Duration::from_millis(30),
        }),
    }
}

fn cap(workspace: &str, class: WorkClass, tokens_per_second: f64) -> CapStatus {
    CapStatus {
        key: CapKey {
            workspace: WorkspaceName::new(workspace),
            class,
        },
        tokens_per_second,
        allowed: 1000.0,
    }
}

fn assert_width(text: &str) {
    for line in text.lines() {
        assert!(line.chars().count() <= MAX_COLUMNS, "{line}");
    }
}

#[test]
fn test_status_text_hosts_and_upstreams() {
    let report = HostReport {
        host: HostId::new("entry-1"),
        revision: Revision(41),
        accepted: 12_345_678,
        answered: 12_345_600,
        refused: 70,
        queues: Vec::new(),
        caps: Vec::new(),
    };
    let status = FleetStatus {
        asked: HostId::new("entry-1"),
        revision: Revision(41),
        hosts: vec![
            host("entry-1", HostState::Live, Some(report)),
            host("entry-2", HostState::Suspect, None),
        ],
        upstreams: vec![
            upstream("engine-1", ListedRole::Engine, Some((12, 3))),
            upstream(
                "service-1",
                ListedRole::Service(ServiceName::new("fold")),
                None,
            ),
        ],
        caps: vec![
            cap("fair-office", WorkClass::Batch, 120.0),
            cap("treehouse-design-desk", WorkClass::Online, 940.26),
        ],
    };
    let text = status_text(&status);
    assert_width(&text);
    insta::assert_snapshot!(text);
}

#[test]
fn test_explanation_text_decisions() {
    let decision = |at_ms, kind, detail: &str| Decision {
        at_ms,
        host: HostId::new("entry-1"),
        kind,
        subjects: vec!["req_1".to_owned()],
        detail: detail.to_owned(),
    };
    let long = "connection_broken: the stream ended early, after 117 tokens; the answer is resumed \
                after its last token on another engine that has the model loaded";
    let explanation = Explanation {
        decisions: vec![
            decision(1_796_000_000_000, DecisionKind::Routed, "engine-1 is idle"),
            decision(1_796_000_000_250, DecisionKind::Retried, long),
        ],
        hosts_without_answer: 2,
    };
    let text = explanation_text("req_1", &explanation);
    assert_width(&text);
    insta::assert_snapshot!(text);
}

#[test]
fn test_explanation_text_unknown_subject() {
    let text = explanation_text("req_9", &Explanation::default());
    insta::assert_snapshot!(text, @"No live host has a recorded decision about req_9.");
}
