//! `parsleywall platform`: runs one process on the co-operative's platform.

use std::process::ExitCode;

use argh::FromArgs;
use parsleywall_platform::FrontOptions;
use parsleywall_platform::NodeFile;
use parsleywall_platform::Role;

use crate::commands::EXIT_USAGE;

/// Environment variable with the port on which a front serves its metrics.
const METRICS_VARIABLE: &str = "PARSLEYWALL_METRICS_PORT";

/// Runs one process on the co-operative's platform. Its settings are in the file that
/// PARSLEYWALL_NODE_FILE names.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArgs {
    /// role of the process: front or store
    #[argh(positional, from_str_fn(parse_role))]
    role: Role,
    /// port for the metrics of a front, under /metrics; also PARSLEYWALL_METRICS_PORT
    #[argh(option)]
    metrics: Option<u16>,
    /// learn how quickly workers serve and how often they fail, and choose by it
    #[argh(switch)]
    learn_pace: bool,
    /// only check the settings file
    #[argh(switch)]
    check: bool,
}

fn parse_role(text: &str) -> Result<Role, String> {
    match text {
        "front" => Ok(Role::Front),
        "store" => Ok(Role::Store),
        _ => Err("the role is `front` or `store`".to_owned()),
    }
}

impl PlatformArgs {
    /// Runs until SIGTERM.
    pub(crate) async fn run(self) -> ExitCode {
        let file = match NodeFile::from_env() {
            Ok(file) => file,
            Err(err) => {
                eprintln!("error: {err}");
                return ExitCode::from(EXIT_USAGE);
            }
        };
        if self.check {
            println!("the settings are valid");
            return ExitCode::SUCCESS;
        }
        let metrics = match self.metrics_port() {
            Ok(metrics) => metrics,
            Err(value) => {
                eprintln!("error: {METRICS_VARIABLE} is {value:?}, but must be a port");
                return ExitCode::from(EXIT_USAGE);
            }
        };
        let options = FrontOptions {
            metrics,
            learns_pace: self.learn_pace,
        };
        match parsleywall_platform::run(self.role, file, options).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => {
                eprintln!("error: {err}");
                ExitCode::FAILURE
            }
        }
    }

    /// Returns the metrics port from the flag, or else from the environment. The error is the
    /// variable's value if it isn't a port.
    fn metrics_port(&self) -> Result<Option<u16>, String> {
        match (self.metrics, std::env::var(METRICS_VARIABLE)) {
            (Some(port), _) => Ok(Some(port)),
            (None, Ok(value)) => value.parse().map(Some).map_err(|_| value),
            (None, Err(_)) => Ok(None),
        }
    }
}
