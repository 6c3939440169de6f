//! Which hosts callers are sent to while some hosts reach no upstreams.

/// Load that a host may be asked to carry, as a multiple of what it carries while callers use all hosts.
const MAX_LOAD_FACTOR: usize = 4;

/// Those of `hosts` that callers should use: the ones that reach upstreams, and as many of the others as it
/// takes so that no host gets more than `MAX_LOAD_FACTOR` times the callers that it has else.
pub fn preferred_hosts<T>(hosts: Vec<T>, is_stranded: impl Fn(&T) -> bool) -> Vec<T> {
    let needed = hosts.len().div_ceil(MAX_LOAD_FACTOR);
    let (stranded, mut preferred): (Vec<T>, Vec<T>) = hosts.into_iter().partition(is_stranded);
    if preferred.is_empty() {
        return stranded;
    }
    let missing = needed.saturating_sub(preferred.len());
    preferred.extend(stranded.into_iter().take(missing));
    preferred
}
