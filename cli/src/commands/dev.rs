//! `parsleywall dev`: runs one entry host with stand-ins for engines and platform in one process.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use log::LevelFilter;
use parsleywall::host::EntryHost;
use parsleywall::settings::LogFormat;
use parsleywall::settings::RawSettings;
use parsleywall::settings::SettingName;
use parsleywall::settings::Settings;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::terms::DEMO_MODEL;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::OPERATOR_KEY;
use parsleywall_standins::terms::demo_terms;

use crate::logging;
use crate::signals::StopSignals;

/// Runs one entry host with an embedded platform, for a first try.
#[derive(FromArgs)]
#[argh(subcommand, name = "dev")]
pub(crate) struct DevArgs {
    /// address for callers and operators; default: 127.0.0.1:8080
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    listen: SocketAddr,
}

impl DevArgs {
    /// Serves until a signal stops the process.
    pub(crate) async fn run(self) -> ExitCode {
        logging::init(LogFormat::Text, LevelFilter::Info);
        match self.serve().await {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => {
                eprintln!("error: {err}");
                ExitCode::FAILURE
            }
        }
    }

    async fn serve(self) -> Result<(), Box<dyn std::error::Error>> {
        let mut signals = StopSignals::new()?;
        let platform = PlatformStandins::start(&PlatformPlan::default()).await?;
        platform.accept_terms(demo_terms()).await?;
        let settings = dev_settings(&platform, self.listen)?;
        let host = EntryHost::start(settings).await?;
        print_examples(host.address());
        signals.wait().await;
        tokio::select! {
            _ = host.drain() => {}
            () = signals.wait() => {}
        }
        Ok(())
    }
}

fn dev_settings(platform: &PlatformStandins, listen: SocketAddr) -> Result<Settings, String> {
    let mut raw = RawSettings::default();
    raw.set(SettingName::HostName, "dev");
    raw.set(SettingName::DataCentre, "local");
    raw.set(SettingName::Listen, listen.to_string());
    raw.set(SettingName::PeerListen, "127.0.0.1:0");
    raw.set(SettingName::KvUrl, platform.kv_url.as_str());
    raw.set(SettingName::HostListUrl, platform.list_url.as_str());
    raw.set(SettingName::WeightStoreUrl, platform.weights_url.as_str());
    raw.set(SettingName::PeerSecret, "dev-secret-dev-secret");
    raw.set(SettingName::DrainDeadline, "5");
    Settings::check(&raw).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("; ")
    })
}

fn print_examples(address: SocketAddr) {
    let base = format!("http://{address}");
    let auth = format!("-H 'Authorization: Bearer {MEMBER_KEY}'");
    let json = "-H 'Content-Type: application/json'";
    println!("parsleywall serves on {base}, with model {DEMO_MODEL:?}.\n");
    println!("# an online request");
    println!("curl -s {base}/v1/chat/completions {auth} {json} \\");
    println!(
        "  -d '{{\"model\":\"{DEMO_MODEL}\",\"messages\":[{{\"role\":\"user\",\
         \"content\":\"Can this oak carry a deck?\"}}]}}'\n"
    );
    println!("# a streamed one");
    println!("curl -sN {base}/v1/chat/completions {auth} {json} \\");
    println!(
        "  -d '{{\"model\":\"{DEMO_MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"How many bolts?\"}}]}}'\n"
    );
    println!("# a batch job: upload, create, read");
    println!(
        "printf '%s\\n' '{{\"custom_id\":\"1\",\"method\":\"POST\",\
         \"url\":\"/v1/chat/completions\",\"body\":{{\"model\":\"{DEMO_MODEL}\",\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Entry 1\"}}]}}}}' > items.jsonl"
    );
    println!(
        "FILE=$(curl -s {base}/v1/files {auth} -F purpose=batch -F file=@items.jsonl | \
         sed 's/.*\"id\":\"\\([^\"]*\\)\".*/\\1/')"
    );
    println!(
        "JOB=$(curl -s {base}/v1/batches {auth} {json} -d \"{{\\\"input_file_id\\\":\\\"$FILE\\\",\
         \\\"endpoint\\\":\\\"/v1/chat/completions\\\",\\\"completion_window\\\":\\\"24h\\\"}}\" | \
         sed 's/.*\"id\":\"\\(batch_[^\"]*\\)\".*/\\1/')"
    );
    println!(
        "until curl -s {base}/v1/batches/$JOB {auth} | grep '\"status\":\"completed\"'; \
         do sleep 1; done"
    );
    println!(
        "OUT=$(curl -s {base}/v1/batches/$JOB {auth} | \
         sed 's/.*\"output_file_id\":\"\\([^\"]*\\)\".*/\\1/')"
    );
    println!("curl -s {base}/v1/files/$OUT/content {auth}\n");
    println!("# what the system did, for operators (key {OPERATOR_KEY:?})");
    println!("cargo run --release -- ctl --host {address} --key {OPERATOR_KEY} status");
}
