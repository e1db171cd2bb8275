//! Names of headers and paths.

/// Carries a caller's key.
pub const KEY: &str = "x-workspace-key";

/// Why a request was refused.
pub const REASON: &str = "x-crocushoist-reason";

/// Whether a refused request ran: `no` or `unknown`.
pub const RAN: &str = "x-crocushoist-ran";

/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-crocushoist-retry-after-ms";

/// Addresses to use instead, separated by commas.
pub const ADDRESSES: &str = "x-crocushoist-addresses";

/// Workspace of the request, set towards the upstream.
pub const WORKSPACE: &str = "x-crocushoist-workspace";

/// Number of the attempt, set towards the upstream and echoed by it.
pub const ATTEMPT: &str = "x-crocushoist-attempt";

/// Boot-clock milliseconds at which the request's token was spent.
pub const ADMITTED_AT: &str = "x-crocushoist-admitted-at";

/// Milliseconds that the upstream has left.
pub const DEADLINE_MS: &str = "x-crocushoist-deadline-ms";

/// Set by an upstream that sheds the request or leaves: `shed` or `draining`.
pub const UPSTREAM_STATE: &str = "x-upstream-state";

/// Prefix of headers that belong to the fleet.
pub const OWN_PREFIX: &str = "x-crocushoist-";

/// Path that answers which addresses to use.
pub const ADDRESSES_PATH: &str = "/.well-known/crocushoist/addresses";
