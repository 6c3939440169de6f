//! Long requests that reach a front late in its stop, on connections that were open before.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

use crate::callers;
use crate::content;
use crate::fleet::SoakFleet;
use crate::history::CallKind;
use crate::history::CallOutcome;
use crate::history::CallRecord;
use crate::history::SoakHistory;
use crate::tenants;

/// Seconds that each of the requests takes.
const LENGTH_S: u64 = 4;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from the beginning of the stop to a stream that keeps the front at work, and complete before its end.
const KEEPER_DELAY: Duration = Duration::from_millis(2_400);
/// Time to the late requests. Their workers would be at work for longer than the stop lasts.
const LATE_DELAY: Duration = Duration::from_millis(4_200);
/// Late requests of each kind.
const CALLS_PER_KIND: usize = 2;

/// Open connections to a front that is about to be stopped.
pub(crate) struct LateCalls {
    history: SoakHistory,
    front: usize,
    /// Tells the requests of one stop from those of another.
    group: usize,
    /// Connections, with the times at which they are used, and for what.
    connections: Vec<(SendRequest<Full<Bytes>>, Duration, CallKind)>,
}

impl LateCalls {
    /// Opens the connections to front `number`; those that fail are left out.
    pub(crate) async fn open(
        fleet: &SoakFleet,
        history: SoakHistory,
        number: usize,
        group: usize,
    ) -> Self {
        let late = [CallKind::Once, CallKind::Repeatable];
        let late = late.iter().flat_map(|kind| [*kind; CALLS_PER_KIND]);
        let late = late.map(|kind| (LATE_DELAY, kind));
        let planned = std::iter::once((KEEPER_DELAY, CallKind::Stream)).chain(late);
        let mut connections = Vec::new();
        for (delay, kind) in planned {
            if let Some(sender) = callers::connect(fleet, number).await {
                connections.push((sender, delay, kind));
            }
        }
        Self {
            history,
            front: number,
            group,
            connections,
        }
    }

    /// Sends each request at its time from now, and records it.
    pub(crate) async fn send(mut self) {
        let connections = std::mem::take(&mut self.connections);
        let calls = connections.into_iter().enumerate();
        let calls = calls.map(|(number, (sender, delay, kind))| {
            let id = format!("late-{}-{}-{number}", self.front, self.group);
            self.send_one(sender, delay, kind, content::lasting(&id, LENGTH_S))
        });
        join_all(calls).await;
    }

    async fn send_one(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        delay: Duration,
        kind: CallKind,
        id: String,
    ) {
        tokio::time::sleep(delay).await;
        let prefix = match kind {
            CallKind::Stream => "/ask/",
            CallKind::Repeatable => "/often/",
            CallKind::Once => "/once/",
        };
        let sent = self.history.now();
        let path = format!("{prefix}{id}");
        let request = callers::request(Method::POST, &path, content::body(&id));
        let request = tenants::with_tenant(request, tenants::tenant_of(&id))
            .header("attempt-id", &id)
            .header("time-budget-ms", REQUEST_TIMEOUT.as_millis().to_string())
            .body(content::body(&id).into())
            .expect("valid parts");
        let exchange = async {
            let response = sender.send_request(request).await.ok()?;
            Some(callers::classify_response(response, kind, &id).await)
        };
        let outcome = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        let outcome = outcome.ok().flatten().unwrap_or(CallOutcome::CutOff);
        let record = CallRecord {
            id,
            kind,
            prefix: prefix.to_owned(),
            front: self.front,
            sent,
            ended: self.history.now(),
            outcome,
            route_acknowledged_at: Duration::ZERO,
        };
        self.history.update(|records| records.calls.push(record));
    }
}
