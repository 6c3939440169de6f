//! Peer messages about caps: token requests, loans, settlements and epochs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::caps::division::DivisionRecord;
use crate::caps::division::EpochReport;
use crate::ids::HostId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// Names one allowance: a workspace and a class of work.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CapKey {
    /// Workspace that the allowance belongs to.
    pub workspace: WorkspaceName,
    /// Class of work that the allowance covers.
    pub class: WorkClass,
}

/// A loan of tokens between hosts, or a part of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanPart {
    /// Host that lent the tokens.
    pub lender: HostId,
    /// Incarnation of the lender that numbered the loan.
    pub incarnation: u64,
    /// Number of the loan, unique for the incarnation of the lender.
    pub loan: u64,
    /// Tokens in this part of the loan.
    pub tokens: f64,
}

/// Settlement of a part of a loan. Sent at most once; if it is lost, the tokens count as used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanSettlement {
    /// Allowance that the lent tokens belong to.
    pub key: CapKey,
    /// Part of the loan that is settled.
    pub part: LoanPart,
    /// Tokens of the part that were not used and return to the lender.
    pub unused: f64,
}

/// Request to another entry host about caps.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CapsRequest {
    /// Asks a workspace's broker to grant tokens, all or none.
    Ask {
        /// Allowance that the tokens belong to.
        key: CapKey,
        /// Tokens that are missing.
        tokens: f64,
    },
    /// Asks a host to lend tokens that it does not need.
    Pull {
        /// Allowance that the tokens belong to.
        key: CapKey,
        /// Most tokens to lend.
        tokens: f64,
    },
    /// Settles loans that the called host gave.
    Settle(Vec<LoanSettlement>),
    /// Asks for the called host's epoch, and for its division if that is newer.
    Epoch {
        /// Newest epoch that the caller knows; 0 if none, `u64::MAX` to get no division.
        known: u64,
    },
}

/// Answer to a [`CapsRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CapsReply {
    /// All requested tokens, to be used at once.
    Granted(Vec<LoanPart>),
    /// The fleet does not have the requested tokens.
    Short {
        /// Time in which the missing tokens accrue if no other request takes them.
        retry_after: Duration,
    },
    /// A loan; `None` if the called host had no tokens to lend.
    Lent(Option<LoanPart>),
    /// The called host, or one that it asked, did not answer or holds an unconfirmed share, so that
    /// it is unknown whether the fleet has the tokens.
    Unconfirmed,
    /// The settlements were applied.
    Settled,
    /// Newest epoch of the called host.
    Epoch {
        /// The called host's report of its epoch.
        report: EpochReport,
        /// The called host's division, if newer than the one that the caller knows.
        newer: Option<DivisionRecord>,
    },
}

impl PeerMessage for CapsRequest {
    const NAME: &'static str = "caps";

    type Reply = CapsReply;
}
