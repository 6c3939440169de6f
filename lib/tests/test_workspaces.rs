//! Which workspace a caller's key belongs to.

mod opaque;

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::header::AUTHORIZATION;
use opaque::table;
use parsleywall::api_key::KeyFault;
use parsleywall::ids::WorkspaceName;
use parsleywall::routes::RouteKind;
use parsleywall::routes::RouteTable;
use parsleywall::workspaces::CallerIdentity;
use parsleywall::workspaces::DirectoryError;
use parsleywall::workspaces::RequestAllowance;
use parsleywall::workspaces::Workspace;
use parsleywall::workspaces::WorkspaceDirectory;
use parsleywall::workspaces::WorkspaceKeys;

fn listed(name: &str, keys: &[&str]) -> WorkspaceKeys {
    WorkspaceKeys {
        workspace: Workspace::new(WorkspaceName::new(name)),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
    }
}

fn with_allowance(per_second: f64, burst: f64) -> WorkspaceKeys {
    let mut keys = listed("north", &["k1"]);
    keys.workspace.allowance = Some(RequestAllowance { per_second, burst });
    keys
}

fn keyed_table() -> RouteTable {
    let listed = vec![listed("north", &["k1", "k2"]), listed("south", &["k3"])];
    let workspaces = WorkspaceDirectory::new(listed).unwrap();
    table(1, RouteKind::Idempotent).with_workspaces(workspaces)
}

fn authorized(values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(AUTHORIZATION, HeaderValue::from_bytes(value).unwrap());
    }
    headers
}

fn identify(values: &[&[u8]]) -> Result<String, KeyFault> {
    let caller = keyed_table().identify(&authorized(values), false)?;
    Ok(caller.workspace_name().unwrap().to_string())
}

#[test]
fn test_identify_by_any_key_of_a_workspace() {
    assert_eq!(identify(&[b"Bearer k1"]), Ok("north".to_owned()));
    assert_eq!(identify(&[b"Bearer k2"]), Ok("north".to_owned()));
    assert_eq!(identify(&[b"bearer  k3 "]), Ok("south".to_owned()));
}

#[test]
fn test_identify_refuses_headers_without_one_known_key() {
    let long = format!("Bearer {}", "k".repeat(513));
    let cases: [(&[&[u8]], KeyFault); 9] = [
        (&[], KeyFault::Missing),
        (&[b"Bearer k9"], KeyFault::Unknown),
        (&[b"Bearer K1"], KeyFault::Unknown),
        (&[b"Bearer "], KeyFault::Malformed),
        (&[b"Bearer k1 k2"], KeyFault::Malformed),
        (&[b"Bearer k\xe9"], KeyFault::Malformed),
        (&[long.as_bytes()], KeyFault::Malformed),
        (&[b"Basic k1"], KeyFault::OtherScheme),
        (&[b"Bearer k1", b"Bearer k1"], KeyFault::Repeated),
    ];
    for (values, fault) in cases {
        assert_eq!(identify(values), Err(fault), "{values:?}");
    }
}

#[test]
fn test_identify_on_public_route() {
    let table = keyed_table();
    let identify = |value: &[u8]| table.identify(&authorized(&[value]), true).unwrap();
    assert_eq!(
        table.identify(&HeaderMap::new(), true),
        Ok(CallerIdentity::Anonymous)
    );
    assert_eq!(identify(b"Bearer k9"), CallerIdentity::Anonymous);
    assert_eq!(
        identify(b"Bearer k3").workspace_name(),
        Some(&WorkspaceName::new("south"))
    );
}

#[test]
fn test_identify_without_workspaces_checks_nothing() {
    let table = table(1, RouteKind::Idempotent);
    let headers = authorized(&[b"Basic x", b"y"]);
    assert_eq!(
        table.identify(&headers, false),
        Ok(CallerIdentity::Unchecked)
    );
}

#[test]
fn test_identify_with_empty_directory_knows_no_key() {
    let table = table(1, RouteKind::Idempotent).with_workspaces(WorkspaceDirectory::default());
    let headers = authorized(&[b"Bearer k1"]);
    assert_eq!(table.identify(&headers, false), Err(KeyFault::Unknown));
}

#[test]
fn test_new_directory_names_its_faults() {
    let name = WorkspaceName::new;
    let fault = |listed| WorkspaceDirectory::new(listed).unwrap_err();
    assert_eq!(
        fault(vec![listed("north", &["k1"]), listed("north", &["k2"])]),
        DirectoryError::RepeatedName(name("north"))
    );
    let shared = fault(vec![listed("north", &["k1"]), listed("south", &["k1"])]);
    assert_eq!(
        shared,
        DirectoryError::SharedKey(name("north"), name("south"))
    );
    assert!(!shared.to_string().contains("k1"));
    for malformed in ["", " ", "a\nb"] {
        assert_eq!(
            fault(vec![listed(malformed, &["k1"])]),
            DirectoryError::MalformedName(name(malformed))
        );
    }
    for key in ["", "a b", "k\u{e9}"] {
        assert_eq!(
            fault(vec![listed("north", &[key])]),
            DirectoryError::MalformedKey(name("north"))
        );
    }
    for (per_second, burst) in [
        (-1.0, 1.0),
        (0.0, 1.0),
        (f64::NAN, 1.0),
        (f64::INFINITY, 1.0),
        (1.0, -1.0),
        (1.0, f64::NAN),
    ] {
        let invalid = DirectoryError::InvalidAllowance(name("north"));
        assert_eq!(fault(vec![with_allowance(per_second, burst)]), invalid);
    }
}

#[test]
fn test_new_directory_takes_repeated_keys_of_one_workspace_and_large_limits() {
    let repeated = WorkspaceDirectory::new(vec![listed("north", &["k1", "k1"])]);
    assert_eq!(repeated.unwrap().len(), 1);
    assert!(WorkspaceDirectory::new(vec![with_allowance(1e308, 1e308)]).is_ok());
}

#[test]
fn test_identity_of_left_work() {
    let table = keyed_table();
    let known = WorkspaceName::new("north");
    let removed = WorkspaceName::new("west");
    for name in [&known, &removed] {
        assert_eq!(table.identity_of(Some(name)).workspace_name(), Some(name));
    }
    assert_eq!(table.identity_of(None), CallerIdentity::Anonymous);
    let unkeyed = opaque::table(1, RouteKind::Idempotent);
    assert_eq!(unkeyed.identity_of(None), CallerIdentity::Unchecked);
}

#[test]
fn test_digest_of_a_key_is_not_shown() {
    let directory = WorkspaceDirectory::new(vec![listed("north", &["secret-key"])]).unwrap();
    let shown = format!("{directory:?} {:?}", Arc::new(&directory));
    assert!(!shown.contains("secret-key"));
    assert!(shown.contains("KeyDigest(..)"));
}
