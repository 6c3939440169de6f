//! Clients of batch jobs and of streams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::HOST;
use crate::fleet::base64;
use crate::http;
use crate::http::Answer;
use crate::json::Json;
use crate::record::Record;

/// Time that a client has for one job to be accepted.
pub const JOB_LIMIT: Duration = Duration::from_millis(4_000);

/// A batch job of small items.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub path: String,
    pub items: Vec<String>,
    /// Part of the prompt that its items share.
    pub shared_part: String,
}

impl Job {
    pub fn new(id: &str, prefix: &str, items: usize) -> Self {
        let items = (0..items).map(|item| format!("{id}i{item:03}"));
        Self {
            id: id.to_owned(),
            path: format!("{prefix}{id}"),
            items: items.collect(),
            shared_part: "9c2e41".to_owned(),
        }
    }

    fn body(&self) -> String {
        let part = &self.shared_part;
        let items = self.items.iter().map(|item| {
            let body = base64(item.as_bytes());
            format!(
                "{{\"id\":\"{item}\",\"path\":\"{}/{item}\",\"headers\":{{\"Model\":\"m\",\
                 \"Token-Usage\":\"350,100\",\"Prompt-Prefix\":\"{part}:100,{item}:250\"}},\
                 \"body\":\"{body}\",\"tokens\":450}}",
                self.path
            )
        });
        format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","))
    }

    /// Sends the job once. Returns the status, 0 without an answer, and the delay that was asked for.
    pub fn submit(&self, to: SocketAddr, record: &Record, left: Duration) -> (u16, Duration) {
        let budget = left.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("Attempt-Id", self.id.as_str()),
            ("Content-Type", "application/json"),
            ("Time-Budget-Ms", budget.as_str()),
        ];
        let line = format!("POST {}", self.path);
        record.note(format!("client sends job {} to {to}", self.id));
        let answer = http::call(to, &line, &headers, self.body().as_bytes(), left);
        let (status, delay) = match &answer {
            Ok(answer) => (answer.status(), answer.retry_after()),
            Err(_) => (0, Duration::ZERO),
        };
        record.note(format!(
            "client: job {} at {to} is answered {status}",
            self.id
        ));
        (status, delay)
    }

    /// Sends the job to one front after another until it is accepted, `tries` times at most. Returns the
    /// statuses.
    pub fn submit_to(&self, fronts: &[SocketAddr], tries: usize, record: &Record) -> Vec<u16> {
        let until = Instant::now() + JOB_LIMIT;
        let mut statuses = Vec::new();
        for to in fronts.iter().take(tries) {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(50) {
                break;
            }
            let (status, delay) = self.submit(*to, record, left);
            statuses.push(status);
            if status == 202 {
                break;
            }
            let left = until.saturating_duration_since(Instant::now());
            std::thread::sleep(delay.min(left / 3));
        }
        statuses
    }

    pub fn get(&self, to: SocketAddr, line: &str) -> std::io::Result<Answer> {
        http::call(
            to,
            line,
            &[("Host", HOST)],
            b"",
            Duration::from_millis(2_500),
        )
    }

    /// Numbers of listed results and of items; `None` without an answer of 200.
    pub fn listed(&self, to: SocketAddr) -> Option<(usize, usize)> {
        let answer = self
            .get(to, &format!("GET /lots/{}?after=0", self.id))
            .ok()?;
        let page = (answer.status() == 200).then(|| Json::parse(&answer.text()))??;
        let total = page.get("total").number()? as usize;
        Some((page.get("results").list().len(), total))
    }
}
