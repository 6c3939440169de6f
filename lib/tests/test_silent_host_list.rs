//! Reads of the host list over connections that are dead without having been closed.

use std::time::Duration;

use parsleywall::edges::host_list::HostList;
use parsleywall::edges::host_list::HttpHostList;
use parsleywall_standins::host_list::HostListMemory;
use parsleywall_standins::host_list::serve_host_list;
use parsleywall_standins::link::Link;
use parsleywall_standins::link::LinkState;
use url::Url;

/// Guards against upstreams that leave unseen while the connection to the host list is dead.
#[tokio::test]
async fn test_host_list_is_read_when_open_connections_are_silent() {
    let hosts = HostListMemory::new(Vec::new(), Duration::ZERO);
    let server = serve_host_list(hosts).await.unwrap();
    let link = Link::start(server.address()).await.unwrap();
    let url = Url::parse(&format!("http://{}/hosts", link.address())).unwrap();
    let list = HttpHostList::new(url);
    list.read().await.unwrap();
    link.set_open(LinkState::Silent);
    list.read().await.unwrap();
    assert_eq!(link.requests("GET "), [2, 1]);
}
