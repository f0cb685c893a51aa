//! Explanation of where a request would go, without sending it.

use celeryshore_kernel::Explanation;
use celeryshore_model::HttpRequest;
use http_types::Url;

use crate::driver::Driver;

/// Address that completes the path of a page to a URL.
const BASE: &str = "http://node";

/// Explains the request that the parameters of a page's URL describe. Its header fields are
/// those of the page's request. Returns `None` if a parameter is missing.
pub(super) fn explain(driver: &Driver, page: &HttpRequest) -> Option<Explanation> {
    let request = described(page)?;
    let now = driver.now();
    Some(driver.inspect(|kernel| kernel.requests.explain(now, &request)))
}

fn described(page: &HttpRequest) -> Option<HttpRequest> {
    let path = std::str::from_utf8(&page.path).ok()?;
    let url = Url::parse(&format!("{BASE}{path}")).ok()?;
    let parameter = |name: &str| {
        let mut found = url.query_pairs().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.into_owned())
    };
    Some(HttpRequest {
        method: parameter("method")?.into(),
        host: parameter("host")?.to_ascii_lowercase().into(),
        path: parameter("path")?.into(),
        headers: page.headers.clone(),
        ..HttpRequest::default()
    })
}
