//! Proxies between each front and each worker, by which single fronts lose the workers.
//!
//! The entries that a front reads of workers in the store name its own proxies in place of the workers'
//! addresses.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use parsleywall_standins::platform_store::ValueView;
use serde_json::Value;

use crate::proxy::LinkFault;
use crate::proxy::LinkProxy;

/// Prefix of the keys of the workers' entries.
const WORKERS_PREFIX: &str = "servers/";

/// Which workers a front loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutScope {
    /// All workers.
    All,
    /// All but one.
    Most,
    /// Those of one service.
    Service(&'static str),
}

/// How a front loses workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum CutKind {
    /// Open connections and new ones hang.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refuse,
}

/// A proxy to one worker.
struct WorkerLink {
    service: &'static str,
    link: LinkProxy,
}

/// Workers that a front has lost.
#[derive(Clone, Copy)]
struct WorkerCut {
    scope: CutScope,
    kind: CutKind,
}

/// Proxies of one front by the workers' addresses.
#[derive(Default)]
struct FrontLinks {
    links: BTreeMap<SocketAddr, WorkerLink>,
    cut: Option<WorkerCut>,
}

impl FrontLinks {
    /// Whether the cut keeps the worker at `address`.
    fn keeps(&self, address: SocketAddr, scope: CutScope) -> bool {
        match scope {
            CutScope::All => false,
            CutScope::Most => self.links.keys().next() == Some(&address),
            CutScope::Service(service) => self.links[&address].service != service,
        }
    }

    fn apply(&self, address: SocketAddr) {
        let link = &self.links[&address].link;
        let cut = self.cut.filter(|cut| !self.keeps(address, cut.scope));
        match cut.map(|cut| cut.kind) {
            None => link.set(LinkFault::None),
            Some(CutKind::Hang) => link.set(LinkFault::StallBoth),
            Some(CutKind::Reset) => {
                link.set(LinkFault::RefuseNew);
                link.reset();
            }
            Some(CutKind::Refuse) => link.set(LinkFault::RefuseNew),
        }
    }
}

/// Proxies between all fronts and all workers.
pub struct WorkerLinks {
    ip: IpAddr,
    fronts: Mutex<Vec<FrontLinks>>,
}

impl WorkerLinks {
    /// Returns proxies on `ip` of `fronts` fronts, to no workers yet.
    pub fn new(ip: IpAddr, fronts: usize) -> Arc<Self> {
        let fronts = (0..fronts).map(|_| FrontLinks::default()).collect();
        Arc::new(Self {
            ip,
            fronts: Mutex::new(fronts),
        })
    }

    /// Adds a proxy of each front to the worker at `address`, unless there are some.
    pub async fn add(&self, address: SocketAddr, service: &'static str) -> std::io::Result<()> {
        let count = self.lock().len();
        for front in 0..count {
            if self.lock()[front].links.contains_key(&address) {
                continue;
            }
            let link = LinkProxy::start(self.ip, address).await?;
            let mut fronts = self.lock();
            let links = &mut fronts[front];
            links.links.insert(address, WorkerLink { service, link });
            links.apply(address);
        }
        Ok(())
    }

    /// Cuts `front` off from workers, or gives all of them back.
    pub fn set_cut(&self, front: usize, cut: Option<(CutScope, CutKind)>) {
        let mut fronts = self.lock();
        let links = &mut fronts[front];
        links.cut = cut.map(|(scope, kind)| WorkerCut { scope, kind });
        links.links.keys().for_each(|address| links.apply(*address));
    }

    /// Shows `front` the entries of workers with the addresses of its proxies, on top of `view`.
    pub fn view(self: &Arc<Self>, front: usize, view: ValueView) -> ValueView {
        let links = self.clone();
        Arc::new(move |key, value| {
            let value = view(key, value);
            let linked = key.starts_with(WORKERS_PREFIX).then(|| {
                let mut entry: Value = serde_json::from_slice(&value).ok()?;
                let worker: SocketAddr = entry["address"].as_str()?.parse().ok()?;
                let address = links.lock()[front].links.get(&worker)?.link.address();
                entry["address"] = address.to_string().into();
                serde_json::to_vec(&entry).ok()
            });
            linked.flatten().map_or(value, Bytes::from)
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<FrontLinks>> {
        self.fronts.lock().expect("worker links lock")
    }
}
