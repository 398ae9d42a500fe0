package refusal

// CodeUpstreamsLimited is the code of UpstreamsLimited.
const CodeUpstreamsLimited = "upstreams-limited"

// UpstreamsLimited refuses a request because all upstreams that could run it are at the rate limits that they name.
var UpstreamsLimited = NewNotRun(503, CodeUpstreamsLimited, "the upstreams take no more requests now")
