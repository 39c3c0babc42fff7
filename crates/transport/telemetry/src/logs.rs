//! Loggers that write JSON lines.

use std::io::Write;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_json::Json;

/// Lines in the queue to the writer; further ones are dropped and counted.
const QUEUE_LENGTH: usize = 8_192;

/// Returns a logger that writes JSON lines to `out`, each with the instance's name.
pub fn json<W: Write + Send + 'static>(out: W, instance: &str) -> Logger {
    let json = Json::new(out).add_default_keys().build();
    let drain = Mutex::new(json).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LENGTH)
        .build();
    Logger::root(drain.fuse(), o!("instance" => instance.to_string()))
}

/// Returns a logger that discards all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
