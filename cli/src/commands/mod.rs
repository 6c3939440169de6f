//! Command-line arguments of parsleywall, with one module for each command.

mod ctl;
mod dev;
mod platform;
mod serve;
mod trace;

use std::process::ExitCode;

use argh::FromArgs;

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

/// Serving system for online and batch inference on one shared fleet.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Box<serve::ServeArgs>),
    Dev(dev::DevArgs),
    Ctl(ctl::CtlArgs),
    Platform(platform::PlatformArgs),
    Trace(trace::TraceArgs),
}

impl Arguments {
    /// Whether the command runs on a single-threaded runtime: the machines of the platform give it
    /// only a share of one core.
    pub(crate) fn is_single_threaded(&self) -> bool {
        matches!(self.command, Command::Platform(_))
    }

    /// Runs the command to its end.
    pub(crate) async fn run(self) -> ExitCode {
        match self.command {
            Command::Serve(args) => args.run().await,
            Command::Dev(args) => args.run().await,
            Command::Ctl(args) => args.run().await,
            Command::Platform(args) => args.run().await,
            Command::Trace(args) => args.run(),
        }
    }
}
