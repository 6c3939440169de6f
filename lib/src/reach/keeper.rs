//! Handle to what is known of the reach of hosts, shared by the tasks of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::time::Instant;

use crate::balancer::LoadBalancer;
use crate::balancer::UpstreamLoad;
use crate::collections::HashMap;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;
use crate::reach::contact::UnreachedCause;
use crate::reach::judgement::ReachState;
use crate::reach::notice::ReachNotice;
use crate::reach::table::DetourHost;
use crate::reach::table::ProbeTarget;
use crate::reach::table::ReachChange;
use crate::reach::table::ReachTable;

/// What this host knows of its own reach and of that of the other hosts. Clones share it.
#[derive(Clone, Default)]
pub struct ReachKeeper {
    table: Arc<Mutex<ReachTable>>,
}

impl ReachKeeper {
    fn table(&self) -> MutexGuard<'_, ReachTable> {
        self.table.lock().expect("reach table lock")
    }

    /// Records that a connection to an upstream was opened.
    pub fn record_connected(&self, upstream: &UpstreamId, service: &ServiceName, now: Instant) {
        self.table().record_connected(upstream, service, now);
    }

    /// Records that bytes came from an upstream, on whichever connection.
    pub fn record_heard(&self, upstream: &UpstreamId, service: &ServiceName, now: Instant) {
        self.table().record_heard(upstream, service, now);
    }

    /// Records that a connection to an upstream failed.
    pub fn record_unreached(
        &self,
        upstream: &UpstreamId,
        service: &ServiceName,
        cause: UnreachedCause,
        now: Instant,
    ) {
        self.table().record_unreached(upstream, service, cause, now);
    }

    /// How well this host reaches the upstreams of `service`.
    pub fn state(&self, service: &ServiceName) -> ReachState {
        self.table().state(service)
    }

    /// Whether this host reaches no service of which it knows anything, while other hosts do.
    pub fn is_stranded(&self) -> bool {
        self.table().is_stranded()
    }

    /// Number of services that this host is stranded from, by its own evidence.
    pub fn stranded_services(&self) -> usize {
        self.table().stranded().count()
    }

    /// Other hosts that said lately that they reach `service` and take detours.
    pub fn detour_hosts(&self, service: &ServiceName) -> Vec<DetourHost> {
        self.table().detour_hosts(service, Instant::now())
    }

    /// Replaces the addresses of the other hosts, by their names.
    pub fn set_hosts(&self, addresses: HashMap<String, SocketAddr>) {
        self.table().set_hosts(addresses);
    }

    /// Applies the load report of another host.
    pub fn apply_report(
        &self,
        host: &str,
        loads: &[UpstreamLoad],
        notice: &ReachNotice,
        now: Instant,
    ) {
        self.table().apply_report(host, loads, notice, now);
    }

    /// Whether no other host has been heard lately.
    pub fn is_alone(&self, now: Instant) -> bool {
        self.table().is_alone(now)
    }

    /// Whether connections to an upstream fail here while another host hears it.
    pub fn is_lost(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.table().is_lost(upstream, now)
    }

    /// Applies what another host tells all of whether it is stranded.
    pub fn apply_stranded(&self, host: &str, is_stranded: bool, now: Instant) {
        self.table().apply_stranded(host, is_stranded, now);
    }

    /// Whether another host is stranded, by what it said last.
    pub fn is_host_stranded(&self, host: &str, now: Instant) -> bool {
        self.table().is_host_stranded(host, now)
    }

    /// Whether callers should rather use other hosts, as this one is stranded from half of its services.
    pub fn is_mostly_stranded(&self) -> bool {
        self.table().is_mostly_stranded()
    }

    /// Applies a load report of another host that says nothing new of its reach.
    pub fn apply_loads(&self, host: &str, loads: &[UpstreamLoad], now: Instant) {
        self.table().apply_loads(host, loads, now);
    }

    /// What this host tells the others in its load reports.
    pub fn own_notice(&self, now: Instant) -> ReachNotice {
        self.table().own_notice(now)
    }

    /// Records whether a connection was opened to an upstream that [`Self::step`] had named.
    pub fn record_probe(
        &self,
        target: &ProbeTarget,
        result: Result<(), UnreachedCause>,
        now: Instant,
    ) {
        self.table().record_probe(target, result, now);
    }

    /// Judges the reach of the services of which a connection has failed lately. Returns the changes, and
    /// the upstreams that are to be probed.
    pub fn step(
        &self,
        balancer: &LoadBalancer,
        now: Instant,
    ) -> (Vec<ReachChange>, Vec<ProbeTarget>) {
        let (is_silent, is_asked, suspected) = {
            let table = self.table();
            (
                table.is_silent(now),
                table.is_asked(now),
                table.suspected(now),
            )
        };
        let (windows, busy) = {
            let state = balancer.state();
            let services = match is_asked {
                true => state.services(),
                false => suspected.into_iter().collect(),
            };
            let windows = services.into_iter().map(|service| {
                let window = state.probe_targets(&service);
                (service, window)
            });
            let busy = is_silent.then(|| state.busy_targets());
            (windows.collect::<Vec<_>>(), busy.unwrap_or_default())
        };
        let mut table = self.table();
        let mut step = table.step(&windows, now);
        step.probes.extend(table.silence_probes(&busy, now));
        table.expire(now);
        (step.changes, step.probes)
    }
}
