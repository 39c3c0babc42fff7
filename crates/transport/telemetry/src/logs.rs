//! Logs as JSON lines.

use std::io::Write;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_json::Json;

/// Lines that may wait to be written; further ones are dropped and counted.
const QUEUE_LENGTH: usize = 8_192;

/// A logger that writes JSON lines to `out`, each with the instance's name.
pub fn json<W: Write + Send + 'static>(out: W, instance: &str) -> Logger {
    let json = Json::new(out).add_default_keys().build();
    let drain = Mutex::new(json).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LENGTH)
        .build();
    Logger::root(drain.fuse(), o!("instance" => instance.to_string()))
}

/// A logger that writes nothing.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
