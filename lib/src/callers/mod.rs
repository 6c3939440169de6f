//! HTTP API for callers: OpenAI's paths, plain services and the list of entry hosts.

mod batches;
mod claims;
mod completions;
mod entries;
mod files;
mod request;
mod router;
mod services;

pub(crate) use request::read_json;
pub(crate) use router::CallerApi;
