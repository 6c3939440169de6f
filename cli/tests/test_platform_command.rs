//! Settings checks of `parsleywall platform` and output of `parsleywall trace`.

use std::path::Path;
use std::process::Command;
use std::process::Output;

/// Valid settings file of a front that lacks the address for callers.
const GOOD: &str = include_str!("../../platform/tests/front.toml");

fn run(arguments: &[&str], variables: &[(&str, &Path)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleywall"));
    command.args(arguments).env_clear();
    for (name, value) in variables {
        command.env(name, value);
    }
    command.output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn test_platform_check_settings() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("local.toml");
    let variable = [("PARSLEYWALL_NODE_FILE", file.as_path())];
    std::fs::write(&file, GOOD).unwrap();
    let good = run(&["platform", "front", "--check"], &variable);
    assert!(good.status.success(), "{}", text(&good.stderr));
    std::fs::write(&file, GOOD.replace("[7720, 7735]", "[0, 1]")).unwrap();
    let bad = run(&["platform", "front", "--check"], &variable);
    assert_eq!(bad.status.code(), Some(2));
    insta::assert_snapshot!(text(&bad.stderr), @"error: setting portRange: must be two ports, the lesser one first");
    let none = run(&["platform", "store"], &[]);
    assert_eq!(none.status.code(), Some(2));
    insta::assert_snapshot!(text(&none.stderr), @"error: PARSLEYWALL_NODE_FILE names no settings file");
}

#[test]
fn test_platform_missing_listen_address() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("local.toml");
    std::fs::write(&file, GOOD).unwrap();
    let variables = [("PARSLEYWALL_NODE_FILE", file.as_path())];
    let missing = run(&["platform", "front"], &variables);
    assert!(!missing.status.success());
    insta::assert_snapshot!(text(&missing.stderr), @"error: setting listen.front: is needed by this role");
    let no_port = [
        variables[0],
        ("PARSLEYWALL_METRICS_PORT", Path::new("many")),
    ];
    let bad = run(&["platform", "front"], &no_port);
    assert_eq!(bad.status.code(), Some(2));
    insta::assert_snapshot!(text(&bad.stderr), @r#"error: PARSLEYWALL_METRICS_PORT is "many", but must be a port"#);
}

#[test]
fn test_trace_one_request() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("front.log");
    let lines = [
        r#"{"time_ms":1000,"host":"front-1","boot":1,"event":"request_sent","request":"r1","upstream":"u1","sending":1}"#,
        r#"{"time_ms":1120,"host":"front-1","boot":1,"event":"sending_failed","request":"r1","upstream":"u1","fault":"broken","cause":"reset"}"#,
        r#"{"time_ms":1121,"host":"front-1","boot":1,"event":"request_ended","request":"r1","outcome":"lost","total_ms":121}"#,
    ];
    std::fs::write(&file, lines.join("\n")).unwrap();
    let path = file.to_str().unwrap();
    let story = run(&["trace", path, "--id", "r1"], &[]);
    insta::assert_snapshot!(text(&story.stdout), @r"
      0 ms  front-1              request sent, boot 1, request r1, sending 1, upstream u1
    120 ms  front-1              sending failed, boot 1, cause reset, fault broken, request r1, upstream u1
    121 ms  front-1              request ended, boot 1, outcome lost, request r1, total_ms 121
    ");
    let worst = run(&["trace", path, "--worst", "1"], &[]);
    insta::assert_snapshot!(text(&worst.stdout), @"r1                   lost                  121 ms  broken at u1: reset");
    let unserved = run(&["trace", path, "--unserved"], &[]);
    insta::assert_snapshot!(text(&unserved.stdout), @r"
    r1                   lost                  121 ms  broken at u1: reset
    1 not served, 1 of them with a reason
    ");
    let unknown = run(&["trace", path, "--id", "r2"], &[]);
    assert!(!unknown.status.success());
    insta::assert_snapshot!(text(&unknown.stderr), @"error: the logs hold no matching event");
    assert_eq!(run(&["trace", path], &[]).status.code(), Some(2));
}
