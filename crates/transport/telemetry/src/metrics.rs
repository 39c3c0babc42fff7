//! Counters, gauges and timers, sent to statsd over UDP.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

use hemlockwind_core::Error;
use hemlockwind_core::Result;

/// The prefix of all metrics.
const PREFIX: &str = "hemlockwind";
/// Metrics in the queue to the socket; further ones are dropped.
const QUEUE_LENGTH: usize = 4_096;

/// `Metrics` sends counters, gauges and timers. A metric that can't be sent is dropped
/// without an error.
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Returns a client that sends to `addr`, or discards all metrics if it is `None`.
    ///
    /// # Errors
    ///
    /// Returns `Error::Listen` if no UDP socket can be opened.
    pub fn new(addr: Option<SocketAddr>, instance: &str) -> Result<Self> {
        let builder = match addr {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(addr) => {
                let local = if addr.is_ipv4() {
                    "0.0.0.0:0"
                } else {
                    "[::]:0"
                };
                let socket = UdpSocket::bind(local).map_err(|e| Error::listen(e.to_string()))?;
                let sink = UdpMetricSink::from(addr, socket);
                let sink = sink.map_err(|e| Error::listen(e.to_string()))?;
                let sink = QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH);
                StatsdClient::builder(PREFIX, sink)
            }
        };
        let client = builder.with_tag("instance", instance).build();
        Ok(Self { client })
    }

    /// Adds `n` to the counter `key`.
    pub fn count(&self, key: &str, n: u64) {
        let _ = self.client.count(key, n);
    }

    /// Sets the gauge `key` to `value`.
    pub fn gauge(&self, key: &str, value: u64) {
        let _ = self.client.gauge(key, value);
    }

    /// Records `time` for the timer `key`.
    pub fn time(&self, key: &str, time: Duration) {
        let _ = self.client.time(key, time);
    }
}
