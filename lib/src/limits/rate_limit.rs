//! Limit of requests a second, as an upstream names it in an answer.

use serde::Deserialize;
use serde::Serialize;

/// Limits above this, in requests a second, have no effect: no upstream gets as many requests.
pub(crate) const MAX_EFFECTIVE_LIMIT: f64 = 1_000.0;

/// Requests a second that an upstream takes from all hosts together: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// No requests at all.
    pub(crate) const ZERO: Self = Self(0.0);

    /// Returns the limit of `per_second` requests a second; `None` if it is not finite or negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second.abs()))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = &'static str;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        Self::new(per_second).ok_or("a limit is finite and not negative")
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.0
    }
}

/// What the answer of an upstream says about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSignal {
    /// The upstream takes any number of requests a second.
    Unlimited,
    /// The upstream takes this many.
    Limited(RateLimit),
    /// The answer doesn't tell: it does not surely come from the upstream, or the limit in it is
    /// malformed. What was known before holds.
    Unknown,
}

impl LimitSignal {
    /// The signal of an answer that names the limits `values`, in requests a second, where `None`
    /// stands for text that is no number. The lowest of several valid limits holds; one above
    /// 1,000 has no effect.
    pub fn from_values(values: impl IntoIterator<Item = Option<f64>>) -> Self {
        let mut is_named = false;
        let mut lowest: Option<f64> = None;
        for value in values {
            is_named = true;
            if let Some(limit) = value.and_then(RateLimit::new) {
                lowest = Some(lowest.map_or(limit.0, |known| known.min(limit.0)));
            }
        }
        match lowest {
            Some(limit) if limit > MAX_EFFECTIVE_LIMIT => Self::Unlimited,
            Some(limit) => Self::Limited(RateLimit(limit)),
            None if is_named => Self::Unknown,
            None => Self::Unlimited,
        }
    }
}
