//! Messages between entry hosts about caps.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::caps::division::DivisionRecord;
use crate::caps::division::EpochReport;
use crate::ids::HostId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// One allowance of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CapKey {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Which of its allowances.
    pub class: WorkClass,
}

/// A loan of tokens, or a part of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanPart {
    /// Host that lent the tokens.
    pub lender: HostId,
    /// Start of the lender that numbered the loan.
    pub incarnation: u64,
    /// Number of the loan at that start of the lender.
    pub loan: u64,
    /// Tokens.
    pub tokens: f64,
}

/// End of a part of a loan. Sent at most once; a lost one leaves the tokens counted as used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanSettlement {
    /// Allowance that the tokens belong to.
    pub key: CapKey,
    /// The part that ends.
    pub part: LoanPart,
    /// Tokens of the part that nobody used.
    pub unused: f64,
}

/// A call about caps.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CapsRequest {
    /// Asks a workspace's broker for tokens, all or none.
    Ask {
        /// Allowance.
        key: CapKey,
        /// Tokens.
        tokens: f64,
    },
    /// Asks a host to lend what it does not need.
    Pull {
        /// Allowance.
        key: CapKey,
        /// Most tokens that are wanted.
        tokens: f64,
    },
    /// Ends loans of the called host.
    Settle(Vec<LoanSettlement>),
    /// Asks for the newest division, and tells the caller's epoch.
    Epoch {
        /// Epoch that the caller knows; zero for none.
        known: u64,
    },
}

/// Answer to a [`CapsRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CapsReply {
    /// The tokens, for use at once.
    Granted(Vec<LoanPart>),
    /// The fleet does not have the tokens.
    Short {
        /// When it will have them, if nobody else takes them.
        retry_after: Duration,
    },
    /// A loan, if there was anything to lend.
    Lent(Option<LoanPart>),
    /// The called host, or one that it asked, could not tell what it may lend.
    Unconfirmed,
    /// The settlements were taken in.
    Settled,
    /// What the called host knows.
    Epoch {
        /// Its word about its epoch.
        report: EpochReport,
        /// Its division, if newer than the caller's.
        newer: Option<DivisionRecord>,
    },
}

impl PeerMessage for CapsRequest {
    const NAME: &'static str = "caps";

    type Reply = CapsReply;
}
