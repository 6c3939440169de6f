//! Demand for each model, as one host sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelName;
use crate::peers::PeerMessage;
use crate::rate::RateMeter;

/// Time in which the weight of a past request falls to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(30);

/// Tokens a second that were asked of each model, refused requests included.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Tokens a second by model.
    pub tokens_per_second: BTreeMap<ModelName, f64>,
}

impl ModelDemand {
    /// Adds the demand that another host saw.
    pub fn add(&mut self, other: &ModelDemand) {
        for (model, rate) in &other.tokens_per_second {
            *self.tokens_per_second.entry(model.clone()).or_default() += rate;
        }
    }

    /// Tokens a second that were asked of `model`.
    pub fn of(&self, model: &ModelName) -> f64 {
        self.tokens_per_second.get(model).copied().unwrap_or(0.0)
    }
}

/// Measures the demand of requests that reach this host.
#[derive(Debug)]
pub struct DemandMeter {
    rates: RateMeter<ModelName>,
}

impl DemandMeter {
    /// Returns a meter that has seen no request.
    pub fn new() -> Self {
        Self {
            rates: RateMeter::new(DECAY_TIME),
        }
    }

    /// Takes note of a request for `tokens` of `model`.
    pub fn note(&self, model: &ModelName, tokens: u64) {
        self.rates.note(model, tokens as f64);
    }

    /// Demand at this moment.
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

/// Asks for the demand that the host sees.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandCall;

impl PeerMessage for DemandCall {
    const NAME: &'static str = "demand";

    type Reply = ModelDemand;
}
