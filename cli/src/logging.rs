//! Logging of the process to standard error.

use std::time::SystemTime;

use log::LevelFilter;
use log::Record;
use parsleywall::settings::LogFormat;

/// Installs a logger that writes to standard error: records of this program from `level` up, and
/// warnings and errors of other crates.
pub(crate) fn init(format: LogFormat, level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("parsleywall", level)
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!(
                "{} {} {}: {}",
                timestamp(),
                record.level(),
                record.target(),
                message
            )),
            LogFormat::Json => out.finish(format_args!("{}", json_line(record, message))),
        })
        .chain(std::io::stderr());
    // Fails only if a logger is already installed, as in a test that runs several commands in one
    // process.
    let _ = dispatch.apply();
}

fn timestamp() -> humantime::Rfc3339Timestamp {
    humantime::format_rfc3339_millis(SystemTime::now())
}

fn json_line(record: &Record<'_>, message: &std::fmt::Arguments<'_>) -> serde_json::Value {
    serde_json::json!({
        "time": timestamp().to_string(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": message.to_string(),
    })
}
