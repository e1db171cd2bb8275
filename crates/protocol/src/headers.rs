//! Names of HTTP headers and paths.

/// Key of the caller's workspace.
pub const WORKSPACE_KEY: &str = "x-workspace-key";

/// Why a request was refused.
pub const REASON: &str = "x-crocushoist-reason";

/// Whether an upstream executed a refused request: `no` or `unknown`.
pub const EXECUTED: &str = "x-crocushoist-ran";

/// Milliseconds after which to retry.
pub const RETRY_AFTER_MS: &str = "x-crocushoist-retry-after-ms";

/// Addresses of other hosts to use instead, separated by commas.
pub const ADDRESSES: &str = "x-crocushoist-addresses";

/// Workspace of the request, sent to the upstream.
pub const WORKSPACE: &str = "x-crocushoist-workspace";

/// Id of the attempt, sent to the upstream and repeated in its response.
pub const ATTEMPT: &str = "x-crocushoist-attempt";

/// Time at which the request's token was spent, in milliseconds of the boot clock.
pub const ADMITTED_AT: &str = "x-crocushoist-admitted-at";

/// Milliseconds that remain for the upstream until the deadline.
pub const DEADLINE_MS: &str = "x-crocushoist-deadline-ms";

/// Set by an upstream that is full (`shed`) or about to stop (`draining`).
pub const UPSTREAM_STATE: &str = "x-upstream-state";

/// Prefix of all headers that the fleet itself sets.
pub const FLEET_PREFIX: &str = "x-crocushoist-";

/// Path of the address lookup.
pub const ADDRESSES_PATH: &str = "/.well-known/crocushoist/addresses";
