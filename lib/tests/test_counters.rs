//! Tests what a host's counters send to statsd.

use std::net::UdpSocket;

use parsleywall::counters::CounterEvent;
use parsleywall::counters::CounterSet;

/// An event that is counted several times at once must reach statsd with that count.
#[test]
fn test_counted_events_reach_statsd() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = server.local_addr().unwrap();
    let counters = CounterSet::new().with_statsd(address).unwrap();
    counters.add(CounterEvent::ItemCommitted, 7);
    let mut buffer = [0; 256];
    let length = server.recv(&mut buffer).unwrap();
    let sent = std::str::from_utf8(&buffer[..length]).unwrap();
    assert_eq!(sent, "parsleywall.event.item_committed:7|c");
    assert_eq!(counters.event_count(CounterEvent::ItemCommitted), 7);
}
