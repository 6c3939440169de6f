//! Entry hosts that run in this process, on stand-ins of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywall::host::EntryHost;
use parsleywall::settings::RawSettings;
use parsleywall::settings::SettingName;
use parsleywall::settings::Settings;

use crate::edges::PlatformPlan;
use crate::edges::PlatformStandins;
use crate::terms::MEMBER_KEY;
use crate::terms::demo_terms;

const PEER_SECRET: &str = "standin-secret-0123456789";
const READY_POLL: Duration = Duration::from_millis(20);
const READY_POLLS: u32 = 500;

/// Returns the settings of host `number`, which listens on free loopback ports.
///
/// `seeds` are the peer addresses of the hosts through which it joins.
pub fn host_settings(
    platform: &PlatformStandins,
    number: usize,
    data_centre: &str,
    seeds: &[SocketAddr],
) -> RawSettings {
    let mut raw = RawSettings::default();
    raw.set(SettingName::HostName, format!("host-{number}"));
    raw.set(SettingName::DataCentre, data_centre);
    raw.set(SettingName::Listen, "127.0.0.1:0");
    raw.set(SettingName::PeerListen, "127.0.0.1:0");
    raw.set(SettingName::KvUrl, platform.kv_url.as_str());
    raw.set(SettingName::HostListUrl, platform.list_url.as_str());
    raw.set(SettingName::WeightStoreUrl, platform.weights_url.as_str());
    raw.set(SettingName::PeerSecret, PEER_SECRET);
    raw.set(SettingName::DrainDeadline, "10");
    raw.set(SettingName::EntriesTtl, "1");
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    raw.set(SettingName::Seeds, seeds.join(","));
    raw
}

/// Starts an entry host; the error lists all invalid settings or says why it failed to start.
pub async fn start_host(raw: &RawSettings) -> Result<EntryHost, String> {
    let settings = Settings::check(raw).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("; ")
    })?;
    EntryHost::start(settings)
        .await
        .map_err(|err| err.to_string())
}

/// Entry hosts that run in this process, with the platform that they use.
pub struct StandinFleet {
    /// The stand-ins of the platform.
    pub platform: PlatformStandins,
    /// The hosts by number.
    pub hosts: Vec<EntryHost>,
}

impl StandinFleet {
    /// Starts `count` hosts with the demo terms and waits until each serves requests.
    ///
    /// `adjust` changes the settings of each host before it starts.
    pub async fn start(count: usize, adjust: impl Fn(&mut RawSettings)) -> Result<Self, String> {
        let platform = PlatformStandins::start(&PlatformPlan::default())
            .await
            .map_err(|err| err.to_string())?;
        platform.accept_terms(demo_terms()).await?;
        let mut hosts: Vec<EntryHost> = Vec::new();
        for number in 0..count {
            let seeds: Vec<SocketAddr> = hosts.iter().map(EntryHost::peer_address).collect();
            let mut raw = host_settings(&platform, number, "local", &seeds);
            adjust(&mut raw);
            hosts.push(start_host(&raw).await?);
        }
        for host in &hosts {
            wait_until_ready(host.address(), MEMBER_KEY).await?;
        }
        Ok(Self { platform, hosts })
    }
}

/// Waits until the host at `address` serves a completion to the holder of `key`.
///
/// Fails after 500 polls that are 20 ms apart, so after ten seconds or more.
pub async fn wait_until_ready(address: SocketAddr, key: &str) -> Result<(), String> {
    let client = parsleywall::http::client::HttpClient::new();
    for _ in 0..READY_POLLS {
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(bytes::Bytes::from_static(
                br#"{"model":"demo","prompt":"ready","max_tokens":1}"#,
            )))
            .expect("constant request");
        if let Ok(response) = client.send(request).await
            && response.status() == http::StatusCode::OK
        {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL).await;
    }
    Err(format!("the host at {address} did not become ready"))
}
