//! A complete platform of stand-ins that listen on loopback ports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleywall::counters::CounterSet;
use parsleywall::decisions::DecisionRing;
use parsleywall::edges::host_list::ListedHost;
use parsleywall::edges::host_list::ListedRole;
use parsleywall::edges::host_list::ListedState;
use parsleywall::edges::weights::StoredModel;
use parsleywall::edges::weights::WeightCatalogue;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ModelName;
use parsleywall::ids::ServiceName;
use parsleywall::ids::UpstreamId;
use parsleywall::terms::ActiveTerms;
use parsleywall::terms::TermsDocument;

use crate::engine::EngineMemory;
use crate::engine::EngineProfile;
use crate::engine::serve_engine;
use crate::host_list::HostListMemory;
use crate::host_list::serve_host_list;
use crate::kv::KvMemory;
use crate::kv::serve_kv;
use crate::server::StandinServer;
use crate::service::ServiceMemory;
use crate::service::serve_service;
use crate::weights::serve_weights;

/// Name of the one plain service of the platform.
pub const SERVICE_NAME: &str = "echo";

const WEIGHT_BYTES_PER_SECOND: u64 = 1_000_000_000;

/// Configuration of a platform of stand-ins.
#[derive(Clone, Debug)]
pub struct PlatformPlan {
    /// Number of model engines.
    pub engines: usize,
    /// Speed and capacity of each engine.
    pub profile: EngineProfile,
    /// Models that every engine has loaded at the start.
    pub models: Vec<ModelName>,
    /// Data centres over which the engines are distributed round-robin.
    pub data_centres: Vec<DataCentre>,
    /// Time after which readers of the host list see a change.
    pub list_lag: Duration,
    /// Size of each model's weights in bytes; the weight store serves 1 GB a second.
    pub weight_bytes: u64,
}

impl Default for PlatformPlan {
    fn default() -> Self {
        Self {
            engines: 2,
            profile: EngineProfile::default(),
            models: vec![ModelName::new("demo")],
            data_centres: vec![DataCentre::new("local")],
            list_lag: Duration::from_secs(1),
            weight_bytes: 16_000_000_000,
        }
    }
}

/// A running platform; dropping it closes everything.
pub struct PlatformStandins {
    /// State of the key-value service.
    pub kv: Arc<KvMemory>,
    /// State of the host list.
    pub list: Arc<HostListMemory>,
    /// Model engines in the order of their names.
    pub engines: Vec<Arc<EngineMemory>>,
    /// State of the plain service.
    pub service: Arc<ServiceMemory>,
    /// URL of the key-value service.
    pub kv_url: String,
    /// URL of the host list.
    pub list_url: String,
    /// URL of the weight store.
    pub weights_url: String,
    servers: Vec<StandinServer>,
}

impl PlatformStandins {
    /// Starts all stand-ins that `plan` describes.
    pub async fn start(plan: &PlatformPlan) -> std::io::Result<Self> {
        let kv = KvMemory::new();
        let service = ServiceMemory::new();
        let mut servers = Vec::new();
        let mut engines = Vec::new();
        let mut hosts = Vec::new();
        for number in 0..plan.engines {
            let engine = EngineMemory::start(plan.profile.clone(), plan.models.clone());
            let server = serve_engine(engine.clone()).await?;
            let data_centre = &plan.data_centres[number % plan.data_centres.len()];
            let id = format!("engine-{number}");
            hosts.push(listed(
                &id,
                server.address(),
                data_centre,
                ListedRole::Engine,
            ));
            servers.push(server);
            engines.push(engine);
        }
        let server = serve_service(service.clone()).await?;
        let role = ListedRole::Service(ServiceName::new(SERVICE_NAME));
        hosts.push(listed(
            "service-0",
            server.address(),
            &plan.data_centres[0],
            role,
        ));
        servers.push(server);
        let list = HostListMemory::new(hosts, plan.list_lag);
        let kv_server = serve_kv(kv.clone()).await?;
        let list_server = serve_host_list(list.clone()).await?;
        let weights_server = serve_weights(Arc::new(catalogue(plan))).await?;
        Ok(Self {
            kv,
            list,
            engines,
            service,
            kv_url: kv_server.url(),
            list_url: format!("{}/hosts", list_server.url()),
            weights_url: weights_server.url(),
            servers: servers
                .into_iter()
                .chain([kv_server, list_server, weights_server])
                .collect(),
        })
    }

    /// Validates `document` and writes it to the key-value store as the current terms.
    pub async fn accept_terms(&self, document: TermsDocument) -> Result<(), String> {
        let decisions = Arc::new(DecisionRing::new(HostId::new("setup")));
        let counters = Arc::new(CounterSet::new());
        let keeper = ActiveTerms::new(self.kv.clone(), counters, decisions);
        let accepted = keeper.replace(None, document, "setup").await;
        accepted
            .map(|_| ())
            .map_err(|err| format!("the terms were not accepted: {err:?}"))
    }

    /// Returns the addresses of the upstreams: the engines, then the plain service.
    pub fn upstream_addresses(&self) -> Vec<SocketAddr> {
        let upstreams = self.servers.iter().take(self.engines.len() + 1);
        upstreams.map(StandinServer::address).collect()
    }
}

fn listed(id: &str, address: SocketAddr, data_centre: &DataCentre, role: ListedRole) -> ListedHost {
    ListedHost {
        id: UpstreamId::new(id),
        address,
        data_centre: data_centre.clone(),
        role,
        state: ListedState::Live,
    }
}

fn catalogue(plan: &PlatformPlan) -> WeightCatalogue {
    let models = plan.models.iter().map(|model| StoredModel {
        model: model.clone(),
        version: String::new(),
        bytes: plan.weight_bytes,
    });
    WeightCatalogue {
        models: models.collect(),
        bytes_per_second: WEIGHT_BYTES_PER_SECOND,
    }
}
