//! The manifest of the small deployment that the scripts use.

/// Returns a manifest with one service, `ledger`, and one idempotent and one other route.
pub fn one_service(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"services\":[{{\"name\":\"ledger\",\"healthPath\":\"/health\",\
         \"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\
         \"coldPerS\":3.4}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"tenants\":[],\"virtualHosts\":[{{\"host\":\
         \"{host}\",\"paths\":[{{\"name\":\"r-lookup\",\"pathPrefix\":\"/lookup/\",\"kind\":\
         \"idempotent\",\"timeoutS\":3,\"targetLatencyS\":0.4,\"priority\":2,\"service\":\"ledger\",\
         \"maxAttempts\":2,\"authExempt\":true,\"sessionAffinity\":false,\"allowedRegions\":[]}},\
         {{\"name\":\"r-burn\",\"pathPrefix\":\"/burn/\",\"kind\":\"non_idempotent\",\"timeoutS\":4,\
         \"targetLatencyS\":0.6,\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\
         \"authExempt\":true,\"sessionAffinity\":false,\"allowedRegions\":[]}}]}}]}}",
        host = crate::client::HOST
    )
}
