//! Waiting until an accepted version is in force.

use std::time::{Duration, Instant};

use foxtail_sync::admin::Accepted;
use foxtail_wire::operator::OperatorClient;

use crate::client::Client;
use crate::exit::Failure;
use crate::output::Output;

const WAIT_DEFAULT_SECS: u64 = 10;
const ASK_EVERY: Duration = Duration::from_millis(200);

/// Waits until every live host holds the accepted version, then tells.
pub(crate) async fn until_in_force(
    accepted: &Accepted,
    wait: Option<u64>,
    client: &Client,
    out: &Output,
) -> Result<(), Failure> {
    let until = Instant::now() + Duration::from_secs(wait.unwrap_or(WAIT_DEFAULT_SECS));
    loop {
        let version = accepted.version;
        let got = client.call(async |host| host.in_force(version).await).await?;
        if got.missing.is_empty() && got.unreachable.is_empty() && got.limits_raised {
            out.accepted(accepted, &got);
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(Failure::Late(got));
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}
