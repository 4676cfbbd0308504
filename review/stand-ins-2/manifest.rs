//! The manifest of the small deployment that the scripts use.

/// Returns a manifest with one service, `ledger`, one idempotent and one other route, and no tenants.
pub fn one_service(version: u64) -> String {
    with_tenants(version, "[]")
}

/// The key of the tenant in [`one_tenant`].
pub const KEY: &str = "b9wu3fexd9dnn2ctnfzs";

/// Returns the same with one tenant that may send `rate` requests a second and a burst.
pub fn one_tenant(version: u64, rate: u32, burst: u32) -> String {
    let tenant = format!(
        "[{{\"name\":\"kaje80\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":{rate},\
         \"burstSize\":{burst},\"allowedRegions\":[]}}]"
    );
    with_tenants(version, &tenant)
}

fn with_tenants(version: u64, tenants: &str) -> String {
    let exempt = tenants == "[]";
    format!(
        "{{\"version\":{version},\"services\":[{{\"name\":\"ledger\",\"healthPath\":\"/health\",\
         \"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\
         \"coldPerS\":3.4}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"tenants\":{tenants},\"virtualHosts\":[{{\"host\":\
         \"{host}\",\"paths\":[{{\"name\":\"r-lookup\",\"pathPrefix\":\"/lookup/\",\"kind\":\
         \"idempotent\",\"timeoutS\":3,\"targetLatencyS\":0.4,\"priority\":2,\"service\":\"ledger\",\
         \"maxAttempts\":2,\"authExempt\":{exempt},\"sessionAffinity\":false,\"allowedRegions\":[]}},\
         {{\"name\":\"r-burn\",\"pathPrefix\":\"/burn/\",\"kind\":\"non_idempotent\",\"timeoutS\":4,\
         \"targetLatencyS\":0.6,\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\
         \"authExempt\":{exempt},\"sessionAffinity\":false,\"allowedRegions\":[]}}]}}]}}",
        host = crate::client::HOST
    )
}
