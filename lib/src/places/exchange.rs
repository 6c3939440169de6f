//! Sending load reports to the other hosts, and taking in theirs.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::places::report::LoadReport;
use crate::places::shared::PlaceDesk;

/// Time between two reports while the load changes, in a fleet of up to [`FAST_FLEET`] hosts.
const FAST_INTERVAL: Duration = Duration::from_millis(30);
/// Hosts that can report at the fast interval; larger fleets report more slowly.
const FAST_FLEET: u32 = 24;
/// Time between two reports while nothing changes.
const QUIET_INTERVAL: Duration = Duration::from_millis(300);
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Exchanges load reports of one host.
pub struct LoadExchange {
    socket: UdpSocket,
    places: PlaceDesk,
    report: LoadReport,
    leaving: CancellationToken,
}

impl LoadExchange {
    /// Returns an exchange for the process `incarnation` of `host`, which is about to stop once
    /// `leaving` is cancelled.
    pub fn new(
        socket: UdpSocket,
        places: PlaceDesk,
        host: String,
        incarnation: u64,
        leaving: CancellationToken,
    ) -> Self {
        let report = LoadReport {
            host,
            incarnation,
            number: 0,
            is_leaving: false,
            loads: Vec::new(),
            new_jobs: Vec::new(),
            leaving: Vec::new(),
        };
        Self {
            socket,
            places,
            report,
            leaving,
        }
    }

    /// Exchanges reports with the hosts that `peers` returns, without end. Reports carry the jobs
    /// that `new_jobs` returns; `note_jobs` takes the name of another host and its new jobs.
    pub async fn run(
        mut self,
        peers: impl Fn() -> Vec<SocketAddr>,
        new_jobs: impl Fn() -> Vec<String>,
        note_jobs: impl Fn(&str, &[String]),
    ) {
        let mut buffer = vec![0; MAX_REPORT_BYTES];
        let mut last_sent = Instant::now();
        let mut next = Instant::now();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received
                        && let Some(report) = LoadReport::decode(&buffer[..length])
                    {
                        note_jobs(&report.host, &report.new_jobs);
                        self.places.book().hear(report, Instant::now());
                        self.places.wake();
                    }
                }
                () = tokio::time::sleep_until(next) => {
                    let now = Instant::now();
                    let addresses = peers();
                    self.places.book().forget_silent(now);
                    let loads = self.places.book().own_loads();
                    let leaving = self.places.book().leaving_news(now);
                    let jobs = new_jobs();
                    let is_news = loads != self.report.loads
                        || jobs != self.report.new_jobs
                        || leaving != self.report.leaving
                        || self.leaving.is_cancelled() != self.report.is_leaving;
                    if is_news || now - last_sent >= QUIET_INTERVAL {
                        last_sent = now;
                        self.report.loads = loads;
                        self.report.new_jobs = jobs;
                        self.report.leaving = leaving;
                        self.send(&addresses).await;
                    }
                    let factor = (addresses.len() as u32 + 1).div_ceil(FAST_FLEET).max(1);
                    next = now + FAST_INTERVAL * factor;
                }
            }
        }
    }

    async fn send(&mut self, addresses: &[SocketAddr]) {
        self.report.number += 1;
        self.report.is_leaving = self.leaving.is_cancelled();
        let bytes = self.report.encode();
        for address in addresses {
            // A report that is not sent is replaced by the next one.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }
}
