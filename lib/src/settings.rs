//! Settings of an entry host, all validated before anything starts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use strum::IntoEnumIterator;
use url::Url;

use crate::collections::HashMap;
use crate::ids::DataCentre;
use crate::ids::HostId;

/// Prefix of the environment variables that hold settings.
pub const ENV_PREFIX: &str = "PARSLEYWALL_";

const MIN_SECRET_BYTES: usize = 16;
const BYTES_PER_MIB: usize = 1024 * 1024;

/// Names of all settings; each one is a command-line flag and an environment variable.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum SettingName {
    /// Name of the host, unique in the fleet.
    HostName,
    /// Data centre of the host.
    DataCentre,
    /// Address to bind for callers and operators.
    Listen,
    /// Address for callers as announced to them, if it differs from `Listen`.
    Advertise,
    /// TCP and UDP address to bind for other entry hosts.
    PeerListen,
    /// Address for other entry hosts as announced to them, if it differs from `PeerListen`.
    PeerAdvertise,
    /// Peer addresses of some other entry hosts, from which the host learns of all others.
    Seeds,
    /// Base URLs of the key-value service.
    KvUrl,
    /// URL of the platform's list of live and leaving hosts.
    HostListUrl,
    /// Base URL of the weight store; without it, the host takes no part in model placement.
    WeightStoreUrl,
    /// Secret with which entry hosts authenticate each other, the same on all of them.
    PeerSecret,
    /// SHA-256 digest of the first operator key, which is valid while the terms name none.
    OperatorKeyDigest,
    /// Directory for bulk data, on hosts that have a disk.
    DataDir,
    /// Time for which callers may cache the list of entry hosts.
    EntriesTtl,
    /// Longest time for which a host drains before it cuts requests off.
    DrainDeadline,
    /// Size of the largest request body that is accepted.
    MaxBodyMib,
    /// UDP address of a statsd server; without it, no metrics are sent.
    Statsd,
    /// Whether upstreams reject orders with an outdated fencing token.
    UpstreamsFence,
    /// Format of log lines.
    LogFormat,
    /// Lowest level of the records that are logged.
    LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum LogFormat {
    /// One line of text for each record.
    Text,
    /// One JSON object for each record.
    Json,
}

impl SettingName {
    /// Returns the name of the environment variable of this setting.
    pub fn env(self) -> String {
        let name = self.to_string().to_uppercase().replace('-', "_");
        format!("{ENV_PREFIX}{name}")
    }

    /// Describes the allowed values, for error messages and the settings reference.
    pub fn allowed(self) -> &'static str {
        match self {
            Self::HostName | Self::DataCentre => "1 to 63 letters, digits, dots or hyphens",
            Self::Listen | Self::PeerListen => "an IP address and port, such as 127.0.0.1:8080",
            Self::Advertise => "an IP address and port; the default is the value of --listen",
            Self::PeerAdvertise => {
                "an IP address and port; the default is the value of --peer-listen"
            }
            Self::Seeds => "IP addresses and ports, separated by commas; may be empty",
            Self::KvUrl => "http URLs, separated by commas",
            Self::HostListUrl | Self::WeightStoreUrl => "an http URL",
            Self::PeerSecret => "at least 16 bytes of text, the same on all entry hosts",
            Self::OperatorKeyDigest => "64 hexadecimal digits, the SHA-256 digest of the key",
            Self::DataDir => "an existing, writable folder",
            Self::EntriesTtl => "whole seconds from 1 to 3600; the default is 30",
            Self::DrainDeadline => "whole seconds from 1 to 3600; the default is 120",
            Self::MaxBodyMib => "whole MiB from 1 to 1024; the default is 64",
            Self::Statsd => "an IP address and UDP port",
            Self::UpstreamsFence => "true or false; the default is true",
            Self::LogFormat => "text or json; the default is text",
            Self::LogLevel => "error, warn, info or debug; the default is info",
        }
    }
}

/// A setting whose value is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Name of the setting.
    pub name: SettingName,
    /// Why its value is rejected.
    pub problem: String,
}

impl std::fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { name, problem } = self;
        write!(f, "--{name}: {problem}; allowed: {}", name.allowed())
    }
}

/// Unvalidated values by setting name.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    values: HashMap<SettingName, String>,
}

impl RawSettings {
    /// Reads each setting from its environment variable, where `lookup` returns a value for it.
    pub fn from_env(lookup: impl Fn(&str) -> Option<String>) -> Self {
        let values = SettingName::iter()
            .filter_map(|name| Some((name, lookup(&name.env())?)))
            .collect();
        Self { values }
    }

    /// Sets the value of one setting, and replaces an earlier one.
    pub fn set(&mut self, name: SettingName, value: impl Into<String>) {
        self.values.insert(name, value.into());
    }

    fn get(&self, name: SettingName) -> Option<&str> {
        let value = self.values.get(&name)?;
        Some(value.trim()).filter(|value| !value.is_empty())
    }
}

/// Validated settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address to bind for callers and operators.
    pub listen: SocketAddr,
    /// Address for callers as announced to them; the same as `listen` by default.
    pub advertise: SocketAddr,
    /// TCP and UDP address to bind for other entry hosts.
    pub peer_listen: SocketAddr,
    /// Address for other entry hosts as announced to them; the same as `peer_listen` by default.
    pub peer_advertise: SocketAddr,
    /// Peer addresses of some other entry hosts, from which the host learns of all others.
    pub seeds: Vec<SocketAddr>,
    /// Base URLs of the key-value service.
    pub kv_urls: Vec<Url>,
    /// URL of the platform's list of live and leaving hosts.
    pub host_list_url: Url,
    /// Base URL of the weight store; absent on hosts that take no part in model placement.
    pub weight_store_url: Option<Url>,
    /// Secret with which entry hosts authenticate each other, the same on all of them.
    pub peer_secret: String,
    /// SHA-256 digest of the first operator key in lower-case hexadecimal, valid while the terms
    /// name none.
    pub operator_key_digest: Option<String>,
    /// Directory for bulk data; absent on hosts without a disk.
    pub data_dir: Option<PathBuf>,
    /// Time for which callers may cache the list of entry hosts.
    pub entries_ttl: Duration,
    /// Longest time for which a host drains before it cuts requests off.
    pub drain_deadline: Duration,
    /// Size in bytes of the largest request body that is accepted.
    pub max_body_bytes: usize,
    /// UDP address of a statsd server; no metrics are sent if it is absent.
    pub statsd: Option<SocketAddr>,
    /// Whether upstreams reject orders with an outdated fencing token.
    pub upstreams_fence: bool,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Lowest level of the records that are logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Validates all values. Returns the errors of all settings at once, so that an operator can
    /// fix them together.
    pub fn check(raw: &RawSettings) -> Result<Self, Vec<InvalidSetting>> {
        let mut checker = SettingChecker::new(raw);
        let listen = checker.required(SettingName::Listen, parse_addr);
        let peer_listen = checker.required(SettingName::PeerListen, parse_addr);
        let settings = Self {
            host: HostId::new(checker.required_or(SettingName::HostName, parse_name, String::new)),
            data_centre: DataCentre::new(checker.required_or(
                SettingName::DataCentre,
                parse_name,
                String::new,
            )),
            listen: listen.unwrap_or(UNSET_ADDR),
            advertise: checker
                .optional(SettingName::Advertise, parse_addr)
                .or(listen)
                .unwrap_or(UNSET_ADDR),
            peer_listen: peer_listen.unwrap_or(UNSET_ADDR),
            peer_advertise: checker
                .optional(SettingName::PeerAdvertise, parse_addr)
                .or(peer_listen)
                .unwrap_or(UNSET_ADDR),
            seeds: checker
                .optional(SettingName::Seeds, |text| parse_list(text, parse_addr))
                .unwrap_or_default(),
            kv_urls: checker.required_or(
                SettingName::KvUrl,
                |text| parse_list(text, parse_url),
                Vec::new,
            ),
            host_list_url: checker.required_or(SettingName::HostListUrl, parse_url, unset_url),
            weight_store_url: checker.optional(SettingName::WeightStoreUrl, parse_url),
            peer_secret: checker.required_or(SettingName::PeerSecret, parse_secret, String::new),
            operator_key_digest: checker.optional(SettingName::OperatorKeyDigest, parse_digest),
            data_dir: checker.optional(SettingName::DataDir, parse_folder),
            entries_ttl: checker.seconds(SettingName::EntriesTtl, 30),
            drain_deadline: checker.seconds(SettingName::DrainDeadline, 120),
            max_body_bytes: checker
                .optional(SettingName::MaxBodyMib, |text| parse_range(text, 1, 1024))
                .unwrap_or(64) as usize
                * BYTES_PER_MIB,
            statsd: checker.optional(SettingName::Statsd, parse_addr),
            upstreams_fence: checker
                .optional(SettingName::UpstreamsFence, parse_bool)
                .unwrap_or(true),
            log_format: checker
                .optional(SettingName::LogFormat, parse_log_format)
                .unwrap_or(LogFormat::Text),
            log_level: checker
                .optional(SettingName::LogLevel, parse_log_level)
                .unwrap_or(LevelFilter::Info),
        };
        match checker.errors.is_empty() {
            true => Ok(settings),
            false => Err(checker.errors),
        }
    }
}

const UNSET_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn unset_url() -> Url {
    Url::parse("http://unset.invalid").expect("constant URL")
}

struct SettingChecker<'a> {
    raw: &'a RawSettings,
    errors: Vec<InvalidSetting>,
}

impl<'a> SettingChecker<'a> {
    fn new(raw: &'a RawSettings) -> Self {
        Self {
            raw,
            errors: Vec::new(),
        }
    }

    fn optional<T>(
        &mut self,
        name: SettingName,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.raw.get(name)?;
        match parse(value) {
            Ok(parsed) => Some(parsed),
            Err(problem) => {
                self.errors.push(InvalidSetting { name, problem });
                None
            }
        }
    }

    fn required<T>(
        &mut self,
        name: SettingName,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        if self.raw.get(name).is_none() {
            let problem = "a value is required".to_owned();
            self.errors.push(InvalidSetting { name, problem });
            return None;
        }
        self.optional(name, parse)
    }

    fn required_or<T>(
        &mut self,
        name: SettingName,
        parse: impl Fn(&str) -> Result<T, String>,
        default: impl FnOnce() -> T,
    ) -> T {
        self.required(name, parse).unwrap_or_else(default)
    }

    fn seconds(&mut self, name: SettingName, default: u64) -> Duration {
        let seconds = self.optional(name, |text| parse_range(text, 1, 3600));
        Duration::from_secs(seconds.unwrap_or(default))
    }
}

fn parse_addr(text: &str) -> Result<SocketAddr, String> {
    SocketAddr::from_str(text).map_err(|_| format!("{text:?} is not an IP address and port"))
}

fn parse_url(text: &str) -> Result<Url, String> {
    let url = Url::parse(text).map_err(|err| format!("{text:?} is not a URL: {err}"))?;
    match url.scheme() {
        "http" => Ok(url),
        scheme => Err(format!("{text:?} has the scheme {scheme:?}")),
    }
}

fn parse_list<T>(text: &str, parse: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    let parts = text.split(',').map(str::trim);
    parts.filter(|part| !part.is_empty()).map(parse).collect()
}

fn parse_name(text: &str) -> Result<String, String> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.';
    match text.len() <= 63 && text.bytes().all(allowed) {
        true => Ok(text.to_owned()),
        false => Err(format!("{text:?} is not a name")),
    }
}

fn parse_secret(text: &str) -> Result<String, String> {
    match text.len() >= MIN_SECRET_BYTES {
        true => Ok(text.to_owned()),
        false => Err(format!("the secret has only {} bytes", text.len())),
    }
}

fn parse_digest(text: &str) -> Result<String, String> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    match text.len() == 64 && is_hex {
        true => Ok(text.to_lowercase()),
        false => Err(format!("{text:?} is not a SHA-256 digest")),
    }
}

fn parse_folder(text: &str) -> Result<PathBuf, String> {
    let path = PathBuf::from(text);
    let metadata = std::fs::metadata(&path).map_err(|err| format!("{text:?}: {err}"))?;
    if !metadata.is_dir() {
        return Err(format!("{text:?} is not a folder"));
    }
    match metadata.permissions().readonly() {
        true => Err(format!("{text:?} is not writable")),
        false => Ok(path),
    }
}

fn parse_range(text: &str, min: u64, max: u64) -> Result<u64, String> {
    let number = u64::from_str(text).map_err(|_| format!("{text:?} is not a whole number"))?;
    match (min..=max).contains(&number) {
        true => Ok(number),
        false => Err(format!("{number} is out of range")),
    }
}

fn parse_bool(text: &str) -> Result<bool, String> {
    bool::from_str(text).map_err(|_| format!("{text:?} is neither true nor false"))
}

fn parse_log_format(text: &str) -> Result<LogFormat, String> {
    LogFormat::from_str(text).map_err(|_| format!("{text:?} is not a log format"))
}

fn parse_log_level(text: &str) -> Result<LevelFilter, String> {
    match LevelFilter::from_str(text) {
        Ok(LevelFilter::Off | LevelFilter::Trace) | Err(_) => {
            Err(format!("{text:?} is not a log level"))
        }
        Ok(level) => Ok(level),
    }
}
