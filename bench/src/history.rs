//! What clients and stand-ins saw during a run, in order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use parsleywall::refusal::Executed;
use parsleywall_standins::edges::PlatformStandins;
use serde_json::Value;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Digest of a prompt or an answer; the engines' stand-in uses the same for prompts.
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Something that a client or a stand-in saw.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A caller sent a request for the first time.
    RequestSent {
        /// Identifier of the request.
        request: String,
        /// Digest of its prompt.
        prompt: u64,
        /// Whether it may run more than once.
        idempotent: bool,
    },
    /// A caller read an answer to its end.
    AnswerRead {
        /// Identifier of the request.
        request: String,
        /// Digest of the text that came.
        answer: u64,
        /// Digest of the whole answer to this request.
        expected: u64,
    },
    /// A caller got a refusal.
    RequestRefused {
        /// Identifier of the request.
        request: String,
        /// Digest of its prompt.
        prompt: u64,
        /// Code of the refusal.
        code: String,
        /// Whether it may have run, by the refusal.
        executed: Executed,
    },
    /// A caller's connection broke, each time that it was allowed to send.
    AnswerBroken {
        /// Identifier of the request.
        request: String,
        /// What the caller saw.
        cause: String,
    },
    /// A request that an upstream ran arrived there.
    Executed {
        /// Name of the upstream.
        upstream: String,
        /// Identifier that came with it.
        request: String,
        /// Digest of its prompt.
        prompt: u64,
    },
    /// A job's acceptance was answered.
    JobAccepted {
        /// Identifier of the job.
        job: String,
        /// Digest of the whole answer by the items' identifiers; none for items that must fail.
        items: BTreeMap<String, Option<u64>>,
        /// Digests of the items' prompts.
        prompts: Vec<u64>,
    },
    /// A resent submission was answered with a job.
    JobResent {
        /// Job of the first submission.
        first: String,
        /// Job that the resend was answered with.
        job: String,
    },
    /// A cancellation was answered with success.
    CancelAccepted {
        /// Identifier of the job.
        job: String,
    },
    /// A client read that a job has ended.
    JobEnded {
        /// Identifier of the job.
        job: String,
        /// Its state in OpenAI's words.
        state: String,
    },
    /// A client read the result of an item.
    ItemRead {
        /// Identifier of the job.
        job: String,
        /// Identifier of the item.
        item: String,
        /// Digest of the answer, or none for an error.
        answer: Option<u64>,
    },
    /// The whole output of a job that ended was read; its items stand before this event.
    OutputRead {
        /// Identifier of the job.
        job: String,
    },
    /// The platform's list showed that an upstream leaves.
    UpstreamLeaving {
        /// Name of the upstream.
        upstream: String,
    },
    /// A planned stop of a host began.
    StopBegan {
        /// Name of the host.
        host: String,
    },
    /// A host ended after a planned stop.
    StopEnded {
        /// Name of the host.
        host: String,
        /// Requests that it cut off.
        cut_off: u64,
    },
    /// An operator's change was accepted.
    TermsAccepted {
        /// Revision of the change.
        revision: u64,
    },
    /// A host answered with the terms that it uses.
    TermsSeen {
        /// Name of the host.
        host: String,
        /// Revision in force there.
        revision: u64,
    },
    /// A workspace's cap was set.
    CapSet {
        /// Name of the workspace.
        workspace: String,
        /// Sustained tokens a second.
        tokens_per_second: f64,
        /// Tokens allowed at once.
        burst_tokens: f64,
    },
    /// Engines ran tokens for a workspace.
    TokensUsed {
        /// Name of the workspace.
        workspace: String,
        /// Number of tokens.
        tokens: u64,
    },
    /// Time to first token of an online request with batch work beside it and without.
    OnlineBesideBatch {
        /// Quantile with batch work, in milliseconds.
        with_ms: f64,
        /// Quantile without batch work, in milliseconds.
        without_ms: f64,
    },
}

/// An event with its time after the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// Time after the start.
    pub at: Duration,
    /// What was seen.
    pub event: HistoryEvent,
}

/// A growing history.
#[derive(Debug)]
pub struct History {
    start: Instant,
    events: Mutex<Vec<Recorded>>,
}

impl History {
    /// Returns an empty history that starts now.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            events: Mutex::default(),
        })
    }

    /// Adds an event that was seen now.
    pub fn record(&self, event: HistoryEvent) {
        self.record_at(Instant::now(), event);
    }

    /// Adds an event that was seen at `time`.
    pub fn record_at(&self, time: Instant, event: HistoryEvent) {
        let at = time.saturating_duration_since(self.start);
        let mut events = self.events.lock().expect("history lock");
        events.push(Recorded { at, event });
    }

    /// Adds the lines of a job's output or error file.
    pub fn record_results(&self, job: &str, content: &[u8]) {
        let lines = content.split(|byte| *byte == b'\n');
        for line in lines.filter(|line| !line.is_empty()) {
            let line: Value = serde_json::from_slice(line).unwrap_or_default();
            let body = &line["response"]["body"];
            let text = body["choices"][0]["message"]["content"].as_str();
            self.record(HistoryEvent::ItemRead {
                job: job.to_owned(),
                item: line["custom_id"].as_str().unwrap_or_default().to_owned(),
                answer: text.map(digest),
            });
        }
    }

    /// All events in the order of their times, with what the engines of `platform` ran.
    pub fn collect(&self, platform: &PlatformStandins) -> Vec<Recorded> {
        let mut events = self.events.lock().expect("history lock").clone();
        for (number, engine) in platform.engines.iter().enumerate() {
            let ran = engine.executions().into_iter().filter(|run| run.ran);
            events.extend(ran.map(|execution| Recorded {
                at: execution.arrived.saturating_duration_since(self.start),
                event: HistoryEvent::Executed {
                    upstream: format!("engine-{number}"),
                    request: execution.request,
                    prompt: execution.prompt,
                },
            }));
        }
        events.sort_by_key(|recorded| recorded.at);
        events
    }
}
