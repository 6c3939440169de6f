//! `parsleywall serve`: runs one entry host.

use std::process::ExitCode;

use argh::FromArgs;
use log::info;
use log::warn;
use parsleywall::host::EntryHost;
use parsleywall::settings::RawSettings;
use parsleywall::settings::SettingName;
use parsleywall::settings::Settings;

use crate::commands::EXIT_USAGE;
use crate::logging;
use crate::signals::StopSignals;

/// Runs one entry host. Each flag can also be set by an environment variable: --host-name by
/// PARSLEYWALL_HOST_NAME, and so on. Flags win.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct ServeArgs {
    /// only check the settings
    #[argh(switch)]
    check: bool,
    /// form of log lines: text or json
    #[argh(option)]
    log_format: Option<String>,
    /// least level of log lines: error, warn, info or debug
    #[argh(option)]
    log_level: Option<String>,
    /// unique name of the host
    #[argh(option)]
    host_name: Option<String>,
    /// data centre of the host
    #[argh(option)]
    data_centre: Option<String>,
    /// address for callers and operators, such as 127.0.0.1:8080
    #[argh(option)]
    listen: Option<String>,
    /// address that callers are told to use; default: --listen
    #[argh(option)]
    advertise: Option<String>,
    /// TCP and UDP address for other entry hosts
    #[argh(option)]
    peer_listen: Option<String>,
    /// peer address that other entry hosts are told to use; default: --peer-listen
    #[argh(option)]
    peer_advertise: Option<String>,
    /// peer addresses of some other entry hosts, separated by commas
    #[argh(option)]
    seeds: Option<String>,
    /// URLs of the key-value service, separated by commas
    #[argh(option)]
    kv_url: Option<String>,
    /// URL of the list of live and leaving hosts
    #[argh(option)]
    host_list_url: Option<String>,
    /// URL of the weight store
    #[argh(option)]
    weight_store_url: Option<String>,
    /// secret shared by all entry hosts, at least 16 bytes
    #[argh(option)]
    peer_secret: Option<String>,
    /// SHA-256 digest of the first operator key
    #[argh(option)]
    operator_key_digest: Option<String>,
    /// folder for bulk data, on hosts that have a disk
    #[argh(option)]
    data_dir: Option<String>,
    /// seconds for which callers may keep the list of entry hosts
    #[argh(option)]
    entries_ttl: Option<String>,
    /// seconds that a planned stop may take
    #[argh(option)]
    drain_deadline: Option<String>,
    /// largest request body in MiB
    #[argh(option)]
    max_body_mib: Option<String>,
    /// address of a statsd server
    #[argh(option)]
    statsd: Option<String>,
    /// whether upstreams refuse orders with old fencing numbers: true or false
    #[argh(option)]
    upstreams_fence: Option<String>,
}

impl ServeArgs {
    /// Serves until a signal stops the process.
    pub(crate) async fn run(self) -> ExitCode {
        let settings = match Settings::check(&self.raw_settings()) {
            Ok(settings) => settings,
            Err(faults) => {
                for fault in faults {
                    eprintln!("error: {fault}");
                }
                return ExitCode::from(EXIT_USAGE);
            }
        };
        logging::init(settings.log_format, settings.log_level);
        if self.check {
            println!("the settings are valid");
            return ExitCode::SUCCESS;
        }
        match serve(settings).await {
            Ok(0) => ExitCode::SUCCESS,
            // The number of requests that were cut off has been logged.
            Ok(_) => ExitCode::FAILURE,
            Err(err) => {
                eprintln!("error: {err}");
                ExitCode::FAILURE
            }
        }
    }

    fn raw_settings(&self) -> RawSettings {
        let mut raw = RawSettings::from_env(|name| std::env::var(name).ok());
        let flags = [
            (SettingName::HostName, &self.host_name),
            (SettingName::DataCentre, &self.data_centre),
            (SettingName::Listen, &self.listen),
            (SettingName::Advertise, &self.advertise),
            (SettingName::PeerListen, &self.peer_listen),
            (SettingName::PeerAdvertise, &self.peer_advertise),
            (SettingName::Seeds, &self.seeds),
            (SettingName::KvUrl, &self.kv_url),
            (SettingName::HostListUrl, &self.host_list_url),
            (SettingName::WeightStoreUrl, &self.weight_store_url),
            (SettingName::PeerSecret, &self.peer_secret),
            (SettingName::OperatorKeyDigest, &self.operator_key_digest),
            (SettingName::DataDir, &self.data_dir),
            (SettingName::EntriesTtl, &self.entries_ttl),
            (SettingName::DrainDeadline, &self.drain_deadline),
            (SettingName::MaxBodyMib, &self.max_body_mib),
            (SettingName::Statsd, &self.statsd),
            (SettingName::UpstreamsFence, &self.upstreams_fence),
            (SettingName::LogFormat, &self.log_format),
            (SettingName::LogLevel, &self.log_level),
        ];
        for (name, value) in flags {
            if let Some(value) = value {
                raw.set(name, value.as_str());
            }
        }
        raw
    }
}

/// Runs a host until a signal arrives, then drains it. A second signal ends the drain at once.
/// Returns how many requests were cut off.
async fn serve(settings: Settings) -> Result<usize, Box<dyn std::error::Error>> {
    let mut signals = StopSignals::new()?;
    let name = settings.host.clone();
    let host = EntryHost::start(settings).await?;
    info!("{name} serves on {}", host.address());
    signals.wait().await;
    info!("{name} drains");
    let in_flight = host.in_flight_requests();
    let (aborted, cause) = tokio::select! {
        aborted = host.drain() => (aborted, "at the deadline"),
        () = signals.wait() => (in_flight.count(), "by a second signal"),
    };
    match aborted {
        0 => info!("{name} has stopped; no request was cut off"),
        aborted => warn!("{name} has stopped; {aborted} requests were cut off {cause}"),
    }
    Ok(aborted)
}
