//! Calls to the key-value service over connections that are dead without having been closed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::HttpKv;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvStore;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::kv::serve_kv;
use parsleywall_standins::link::Link;
use parsleywall_standins::link::LinkState;
use url::Url;

const KEY: &str = "terms";
const WATCH_WAIT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn client(links: &[&Link]) -> Arc<HttpKv> {
    let url = |link: &&Link| Url::parse(&format!("http://{}", link.address())).unwrap();
    Arc::new(HttpKv::new(links.iter().map(url).collect()))
}

/// Guards against changes of the terms that wait for dead connections, and against writes that are sent twice.
#[tokio::test]
async fn test_reads_answer_and_watches_end_when_open_connections_are_silent() {
    let kv = KvMemory::new();
    let server = serve_kv(kv.clone()).await.unwrap();
    let link = Link::start(server.address()).await.unwrap();
    let client = client(&[&link]);
    let before = client
        .put(KEY, Bytes::new(), Expect::Any, None)
        .await
        .unwrap();
    let watch = {
        let client = client.clone();
        tokio::spawn(async move { client.watch(KEY, before, WATCH_WAIT).await })
    };
    while link.requests("/watch").iter().sum::<usize>() == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    client.get(KEY).await.unwrap();
    link.set_open(LinkState::Silent);
    let after = kv.put(KEY, Bytes::new(), Expect::Any, None).await.unwrap();
    let changes = client.changes_since(KEY, before).await.unwrap();
    assert_eq!((changes.changes.len(), changes.revision), (1, after));
    let outcome = watch.await.unwrap();
    assert!(
        matches!(outcome, Err(KvError::Unavailable(_))),
        "{outcome:?}"
    );

    link.set_open(LinkState::Silent);
    let put = client.put(KEY, Bytes::new(), Expect::Any, None).await;
    assert!(matches!(put, Err(KvError::Unknown(_))), "{put:?}");
    assert_eq!(link.requests("PUT ").iter().sum::<usize>(), 2);
}

/// Guards against reads that fail while another address of the service answers.
#[tokio::test]
async fn test_read_goes_to_the_next_address_when_the_first_is_silent() {
    let kv = KvMemory::new();
    let server = serve_kv(kv.clone()).await.unwrap();
    let links = [
        Link::start(server.address()).await.unwrap(),
        Link::start(server.address()).await.unwrap(),
    ];
    let client = client(&[&links[0], &links[1]]);
    client.get(KEY).await.unwrap();
    links[0].set_open(LinkState::Silent);
    links[0].set_new(LinkState::Silent);
    client.get(KEY).await.unwrap();
    assert_eq!(links[1].requests("/kv/").len(), 1);
}
