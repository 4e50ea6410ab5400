package portrelay.net;

import portrelay.model.QueryId;

/** Executions of a query are numbered in the order in which they were sent. */
record ExecutionId(QueryId query, int index) {}
