//! Demand for each model, measured on the requests that reach one host.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelName;
use crate::peers::PeerMessage;
use crate::rate::RateMeter;

/// Time after which the weight of a past request has decayed to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(30);

/// Requested tokens per second of each model. Refused requests count too, so that demand that finds
/// no replica is seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Prompt and generated tokens per second, estimated, by model.
    pub tokens_per_second: BTreeMap<ModelName, f64>,
}

impl ModelDemand {
    /// Adds the demand that another host measured.
    pub fn add(&mut self, other: &ModelDemand) {
        for (model, rate) in &other.tokens_per_second {
            *self.tokens_per_second.entry(model.clone()).or_default() += rate;
        }
    }

    /// Requested tokens per second of `model`; zero if it is unknown.
    pub fn of(&self, model: &ModelName) -> f64 {
        self.tokens_per_second.get(model).copied().unwrap_or(0.0)
    }
}

/// Meter of the demand of the requests that reach this host, as a decaying mean.
#[derive(Debug)]
pub struct DemandMeter {
    rates: RateMeter<ModelName>,
}

impl DemandMeter {
    /// Returns a meter without demand.
    pub fn new() -> Self {
        Self {
            rates: RateMeter::new(DECAY_TIME),
        }
    }

    /// Counts a request for `tokens` tokens of `model`.
    pub fn note(&self, model: &ModelName, tokens: u64) {
        self.rates.note(model, tokens as f64);
    }

    /// Current demand of all models that were requested here.
    pub fn demand(&self) -> ModelDemand {
        ModelDemand {
            tokens_per_second: self.rates.rates(),
        }
    }
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self::new()
    }
}

/// Peer call that returns the demand measured by the called host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandCall;

impl PeerMessage for DemandCall {
    const NAME: &'static str = "demand";

    type Reply = ModelDemand;
}
