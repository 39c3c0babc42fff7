//! The error type of all crates. Each kind has a number whose meaning never changes.
//!
//! docs/ERRORS.md lists these numbers; a test compares it with this module.

use std::time::Duration;

use displaydoc::Display;
use strum::EnumDiscriminants;
use strum::EnumIter;

/// When to retry after a refusal by an instance that is stopping: another one takes the next
/// connection.
const OTHER_INSTANCE_RETRY: Duration = Duration::from_millis(100);

/// `Result` is the result of anything that can fail with [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` is any failure that a crate of this workspace reports.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, EnumDiscriminants)]
#[strum_discriminants(
    name(Code),
    derive(EnumIter, Hash),
    doc = "`Code` identifies the kind of an error."
)]
#[strum_discriminants(allow(missing_docs))]
pub enum Error {
    /// The request's body can't be read: {0}.
    Body(String),
    /// The request's headers can't be used: {0}.
    Header(String),
    /// The API key is missing or belongs to no organisation.
    ApiKey,
    /// The organisation may not use this: {0}.
    Forbidden(String),
    /// There is no pipeline or service of this name: {0}.
    UnknownTarget(String),
    /// The request is larger than the limit of {0} bytes.
    TooLarge(usize),
    /// The sender was too slow: {0}.
    SlowSender(String),
    /// The idempotency key can't be used: {0}.
    IdempotencyKey(String),
    /// The idempotency key was used before for another request.
    KeyReused,

    /// The queue of this organisation and rank is full; retry in {0:?}.
    QueueFull(Duration),
    /// The deadline can't be met; retry in {0:?}.
    DeadlineUnmeetable(Duration),
    /// The deadline passed before the request started.
    DeadlinePassed,
    /// The retry budget is used up.
    RetryBudget,
    /// This instance is stopping.
    Stopping,
    /// The owner of this key's slot can't be reached, so the request was not sent: {0}.
    ClaimUnavailable(String),
    /// There is no memory for this request now; retry in {0:?}.
    CallerMemory(Duration),

    /// No path of backend servers covers all layers for {0}.
    NoPath(String),
    /// The backend server refused before it started: {0}.
    BackendRefused(String),
    /// The backend server failed: {0}.
    BackendFailed(String),
    /// The backend server can't be reached: {0}.
    BackendUnreachable(String),
    /// The backend server's answer can't be read: {0}.
    BackendAnswer(String),
    /// The request was sent and its outcome is unknown: {0}.
    OutcomeUnknown(String),
    /// The range of layers can't be used: {0}.
    Layers(String),
    /// The engine doesn't accept a path of this form: {0}.
    PathMalformed(String),
    /// Prompts with the part {0} crash engines, so it is quarantined; retry in {1:?}.
    Quarantined(String, Duration),

    /// The configuration is invalid: {0}.
    Config(String),
    /// The configuration was changed concurrently: {0}.
    ConfigConflict(String),
    /// The sheet is invalid: {0}.
    Sheet(String),
    /// The sheet is for another day: {0}.
    SheetDay(String),
    /// No configuration is in force yet.
    NoConfig,

    /// The peer did not prove that it knows the shared key.
    PeerKey,
    /// The peer uses another version of the protocol: {0}.
    PeerVersion(String),
    /// The peer's message can't be read: {0}.
    PeerFrame(String),
    /// The peer can't be reached: {0}.
    PeerUnreachable(String),

    /// The platform can't be reached or refuses: {0}.
    PlatformUnavailable(String),
    /// The platform's answer can't be read: {0}.
    PlatformAnswer(String),
    /// The platform may or may not have made the change: {0}.
    PlatformUnknown(String),
    /// The lease is held by another instance or has lapsed: {0}.
    Lease(String),

    /// The settings are invalid: {0}.
    Settings(String),
    /// The admin token is missing or wrong.
    AdminToken,
    /// A socket can't be opened: {0}.
    Listen(String),
    /// The command line can't be used: {0}.
    Usage(String),
}

impl Code {
    /// Returns the number of this kind, which never changes.
    pub const fn number(self) -> u16 {
        match self {
            Self::Body => 1001,
            Self::Header => 1002,
            Self::ApiKey => 1003,
            Self::Forbidden => 1004,
            Self::UnknownTarget => 1005,
            Self::TooLarge => 1006,
            Self::SlowSender => 1007,
            Self::IdempotencyKey => 1008,
            Self::KeyReused => 1009,
            Self::QueueFull => 2001,
            Self::DeadlineUnmeetable => 2002,
            Self::DeadlinePassed => 2003,
            Self::RetryBudget => 2004,
            Self::Stopping => 2005,
            Self::ClaimUnavailable => 2006,
            Self::CallerMemory => 2007,
            Self::NoPath => 3001,
            Self::BackendRefused => 3002,
            Self::BackendFailed => 3003,
            Self::BackendUnreachable => 3004,
            Self::BackendAnswer => 3005,
            Self::OutcomeUnknown => 3006,
            Self::Layers => 3007,
            Self::PathMalformed => 3008,
            Self::Quarantined => 3009,
            Self::Config => 4001,
            Self::ConfigConflict => 4002,
            Self::Sheet => 4003,
            Self::SheetDay => 4004,
            Self::NoConfig => 4005,
            Self::PeerKey => 5001,
            Self::PeerVersion => 5002,
            Self::PeerFrame => 5003,
            Self::PeerUnreachable => 5004,
            Self::PlatformUnavailable => 6001,
            Self::PlatformAnswer => 6002,
            Self::PlatformUnknown => 6003,
            Self::Lease => 6004,
            Self::Settings => 7001,
            Self::AdminToken => 7002,
            Self::Listen => 7003,
            Self::Usage => 7004,
        }
    }

    /// Returns the HTTP status for this kind.
    pub const fn status(self) -> u16 {
        match self {
            Self::Body | Self::Header | Self::IdempotencyKey | Self::Layers | Self::Usage => 400,
            Self::ApiKey | Self::AdminToken | Self::PeerKey => 401,
            Self::Forbidden => 403,
            Self::UnknownTarget => 404,
            Self::SlowSender => 408,
            Self::ConfigConflict | Self::SheetDay => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Config | Self::Sheet | Self::Settings => 422,
            Self::QueueFull | Self::DeadlineUnmeetable => 429,
            Self::BackendRefused
            | Self::BackendFailed
            | Self::BackendUnreachable
            | Self::BackendAnswer
            | Self::OutcomeUnknown
            | Self::PeerVersion
            | Self::PeerFrame
            | Self::PlatformAnswer => 502,
            Self::RetryBudget
            | Self::Stopping
            | Self::ClaimUnavailable
            | Self::CallerMemory
            | Self::NoPath
            | Self::PathMalformed
            | Self::Quarantined
            | Self::NoConfig
            | Self::PeerUnreachable
            | Self::PlatformUnavailable
            | Self::PlatformUnknown
            | Self::Lease
            | Self::Listen => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// Defines one constructor for each kind that carries only a text.
macro_rules! constructors {
    ($($(#[$doc:meta])* $name:ident => $variant:ident;)*) => {
        impl Error {
            $($(#[$doc])* pub fn $name(why: impl Into<String>) -> Self {
                Self::$variant(why.into())
            })*
        }
    };
}

constructors! {
    /// Returns the error for a body that can't be read.
    body => Body;
    /// Returns the error for headers that can't be used.
    header => Header;
    /// Returns the error for an organisation that lacks the permission.
    forbidden => Forbidden;
    /// Returns the error for an unknown pipeline or service.
    unknown_target => UnknownTarget;
    /// Returns the error for a sender that was too slow.
    slow_sender => SlowSender;
    /// Returns the error for an idempotency key that can't be used.
    idempotency_key => IdempotencyKey;
    /// Returns the error for a key whose slot's owner can't be reached.
    claim_unavailable => ClaimUnavailable;
    /// Returns the error for a model whose layers no path of backend servers covers.
    no_path => NoPath;
    /// Returns the error for a backend server that refused before it started.
    backend_refused => BackendRefused;
    /// Returns the error for a backend server that failed.
    backend_failed => BackendFailed;
    /// Returns the error for a backend server that can't be reached.
    backend_unreachable => BackendUnreachable;
    /// Returns the error for a backend server's answer that can't be read.
    backend_answer => BackendAnswer;
    /// Returns the error for a request that was sent and whose outcome is unknown.
    outcome_unknown => OutcomeUnknown;
    /// Returns the error for a range of layers that can't be used.
    layers => Layers;
    /// Returns the error for a path of a form that the engine doesn't accept.
    path_malformed => PathMalformed;
    /// Returns the error for a configuration with faults.
    config => Config;
    /// Returns the error for a configuration that was changed concurrently.
    config_conflict => ConfigConflict;
    /// Returns the error for a sheet with faults.
    sheet => Sheet;
    /// Returns the error for a sheet of another day.
    sheet_day => SheetDay;
    /// Returns the error for a peer that uses another version of the protocol.
    peer_version => PeerVersion;
    /// Returns the error for a peer's message that can't be read.
    peer_frame => PeerFrame;
    /// Returns the error for a peer that can't be reached.
    peer_unreachable => PeerUnreachable;
    /// Returns the error for a platform that can't be reached or refuses.
    platform_unavailable => PlatformUnavailable;
    /// Returns the error for a platform's answer that can't be read.
    platform_answer => PlatformAnswer;
    /// Returns the error for a change that the platform may or may not have made.
    platform_unknown => PlatformUnknown;
    /// Returns the error for a lease that is held by another instance or has lapsed.
    lease => Lease;
    /// Returns the error for settings with faults.
    settings => Settings;
    /// Returns the error for a socket that can't be opened.
    listen => Listen;
    /// Returns the error for a command line that can't be used.
    usage => Usage;
}

impl Error {
    /// Returns the kind of this error.
    pub fn code(&self) -> Code {
        Code::from(self)
    }

    /// Returns how long the caller should wait before another try, for refusals that
    /// state it.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::QueueFull(after)
            | Self::DeadlineUnmeetable(after)
            | Self::CallerMemory(after)
            | Self::Quarantined(_, after) => Some(*after),
            Self::Stopping => Some(OTHER_INSTANCE_RETRY),
            _ => None,
        }
    }
}

impl std::error::Error for Error {}
