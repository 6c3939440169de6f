//! A long request arrives at a process that shuts down: one that may run once, at a process that has served
//! none before, or one that may be repeated, at a process that has served one among many short ones.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet;
use crate::fleet::HOST;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;
use crate::worker::RunEnd;
use crate::worker::Worker;
use crate::worker::service;
use crate::worker::whole_text;

const FRONTS: usize = 2;
const TOKENS_PER_EVENT: u64 = 7;
const EVENT_GAP: Duration = Duration::from_millis(17);
const LONG_TOKENS: u64 = 1_950;
const TIME_LIMIT: Duration = Duration::from_millis(5_000);
const GRACE: Duration = Duration::from_secs(8);
/// Time from SIGTERM to the long request; past the three seconds in which a request may be too long.
const AFTER_TERM: Duration = Duration::from_millis(3_200);

/// The requests of the route before the process is stopped.
pub struct History {
    /// Whether requests of the route may be repeated.
    is_resumable: bool,
    /// Whether a long request is served first.
    has_long: bool,
    short_requests: usize,
    short_tokens: u64,
}

impl History {
    /// Requests that may run once, of which none is long.
    pub const ONCE: Self = Self {
        is_resumable: false,
        has_long: false,
        short_requests: 60,
        short_tokens: 250,
    };

    /// Requests that may be repeated, of which the first one is long.
    pub const REPEATABLE: Self = Self {
        is_resumable: true,
        has_long: true,
        short_requests: 300,
        short_tokens: 84,
    };
}

pub fn play(history: &History, is_disturbed: bool, record: &Record, folder: &Path) -> Verdict {
    match try_play(history, is_disturbed, record, folder) {
        Ok(verdict) => verdict,
        Err(cause) => Verdict::NotRun(cause),
    }
}

fn manifest(is_resumable: bool) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"material-quote\",\"host\":\"{HOST}\",\"prefix\":\"/lohu930/\",\
         \"kind\":\"stream\",\"resumable\":{is_resumable},\"service\":\"{0}\",\"timeoutMs\":5000,\"sloMs\":300,\
         \"gapSloMs\":300,\"attempts\":2,\"priority\":0,\"sticky\":true}}],\
         \"services\":[{{\"name\":\"{0}\",\"healthPath\":\"/health\"}}],\
         \"limits\":{{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}}}",
        service()
    )
}

fn events_of(request: &Message) -> u64 {
    let usage = request.header("token-usage").unwrap_or_default();
    let tokens: u64 = usage
        .split(',')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    tokens.div_ceil(TOKENS_PER_EVENT)
}

/// Answer to a request; `None` if the connection ended before the head was complete.
fn ask(to: SocketAddr, id: &str, tokens: u64) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(TIME_LIMIT)).ok()?;
    let body = "lumber for one deck";
    let head = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 450,{tokens}\r\nPrompt-Prefix: 5c1e07a2:200,{id}:250\r\nTime-Budget-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        TIME_LIMIT.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    http::read_message(&mut BufReader::new(stream), true)
}

fn try_play(
    history: &History,
    is_disturbed: bool,
    record: &Record,
    folder: &Path,
) -> Result<Verdict, String> {
    let network = fleet::free_network(FRONTS).ok_or("no free addresses")?;
    let ip = format!("{network}.1");
    let store = Store::start(&ip, Duration::ZERO).map_err(|err| err.to_string())?;
    store.put("op/config", &manifest(history.is_resumable));
    let worker = Worker::start(
        "i-7f3a91c2",
        &ip,
        "jm-west-a",
        EVENT_GAP,
        Arc::new(events_of),
        &store,
        record,
    );
    let worker = worker.map_err(|err| err.to_string())?;
    let mut fronts =
        fleet::start(&network, FRONTS, &store, folder).ok_or("the fronts did not start")?;
    record.add("all fronts are ready");
    let to = fronts[0].callers();
    if history.has_long {
        let answer = ask(to, "10a60000", LONG_TOKENS);
        if !answer.is_some_and(|answer| is_served(&answer, LONG_TOKENS)) {
            return Err("the first long request was not served".to_owned());
        }
        record.add("a long request was served");
    }
    let (requests, tokens) = (history.short_requests, history.short_tokens);
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            thread::spawn(move || {
                (0..requests / 4).all(|number| {
                    let id = format!("5a1e{caller:02x}{number:04x}");
                    ask(to, &id, tokens).is_some_and(|answer| is_served(&answer, tokens))
                })
            })
        })
        .collect();
    if !callers
        .into_iter()
        .all(|caller| caller.join().unwrap_or(false))
    {
        return Err("a short request was not served".to_owned());
    }
    record.add(&format!("{requests} short requests were served"));
    if fronts[0].resolved() != FRONTS {
        return Err("the directory does not name all fronts".to_owned());
    }
    record.add("a client asks the directory, which names both fronts");
    if is_disturbed {
        fronts[0].signal("-TERM");
        record.add(&format!("SIGTERM to {}", fronts[0].name));
    }
    let stopped = Instant::now();
    thread::sleep(AFTER_TERM);
    let id = "9c41d07be2a35f68";
    let sent = Instant::now();
    record.add(&format!(
        "the client sends a request of {LONG_TOKENS} tokens to {}, {} ms after SIGTERM",
        fronts[0].name,
        (sent - stopped).as_millis()
    ));
    let answer = ask(to, id, LONG_TOKENS);
    let ended = Instant::now();
    let taken = ended - sent;
    let outcome = match &answer {
        None => "the connection ended without an answer".to_owned(),
        Some(answer) => format!(
            "status {}, {} bytes, {}",
            answer.status(),
            answer.body.len(),
            if answer.is_whole {
                "whole"
            } else {
                "broken off"
            }
        ),
    };
    record.add(&format!("after {} ms: {outcome}", taken.as_millis()));
    fronts[0].wait(GRACE.saturating_sub(stopped.elapsed()));
    record.add(&format!(
        "the process has ended {} ms after SIGTERM",
        stopped.elapsed().as_millis()
    ));
    // The worker notes the end of its run soon after the connection has closed.
    thread::sleep(Duration::from_millis(200));
    let runs = worker.runs();
    let run = runs.iter().find(|run| run.id == id);
    // Excused are a worker that broke off, its time limit, and a run that is still under way.
    let was_cut = run.is_some_and(|run| matches!(run.ended, Some((_, RunEnd::Left))));
    let is_answered = answer.is_some_and(|answer| answer.is_whole);
    let in_stop = ended < stopped + GRACE + Duration::from_secs(1);
    let is_broken = was_cut && !is_answered && taken < TIME_LIMIT && in_stop;
    Ok(match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn is_served(answer: &Message, tokens: u64) -> bool {
    let text = whole_text(tokens.div_ceil(TOKENS_PER_EVENT));
    answer.status() == 200 && answer.is_whole && answer.body == text.as_bytes()
}
