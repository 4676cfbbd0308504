//! The operator's manifest of a small deployment.

/// The host of all routes.
pub const HOST: &str = "kiln.example";

/// The tenant of all keys.
pub const TENANT: &str = "cooperative";

/// Returns a manifest with a once-only route `/record/` and an idempotent route `/lookup/`, both of
/// the service `ledger`, and one tenant with these keys.
pub fn text(version: u64, keys: &[&str]) -> String {
    text_with_timeout(version, keys, 4.0)
}

/// Returns such a manifest whose routes have another `timeoutS`.
pub fn text_with_timeout(version: u64, keys: &[&str], timeout_s: f64) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, kind: &str, aim_s: f64| {
        format!(
            r#"{{"name":"{name}","pathPrefix":"/{name}/","kind":"{kind}","timeoutS":{timeout_s},"targetLatencyS":{aim_s},"priority":1,"service":"ledger","maxAttempts":2,"authExempt":false,"sessionAffinity":true,"allowedRegions":[]}}"#
        )
    };
    format!(
        r#"{{"version":{version},"services":[{{"name":"ledger","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.4}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":[{{"name":"{TENANT}","apiKeys":[{}],"priority":1,"ratePerS":500,"burstSize":500,"allowedRegions":[]}}],"virtualHosts":[{{"host":"{HOST}","paths":[{},{}]}}]}}"#,
        keys.join(","),
        route("record", "non_idempotent", 0.6),
        route("lookup", "idempotent", 0.4),
    )
}
