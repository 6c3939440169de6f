//! Command line of parsleywall, as a library for the other programs of this Cargo workspace.

mod commands;
mod logging;
mod signals;
mod table;

use std::process::ExitCode;

use crate::commands::Arguments;

/// Runs the command given by the process's arguments to its end and returns its exit code.
pub fn run_from_env() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mut builder = match arguments.is_single_threaded() {
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(arguments.run()),
        Err(err) => {
            eprintln!("error: the runtime could not start: {err}");
            ExitCode::FAILURE
        }
    }
}
