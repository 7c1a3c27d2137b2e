/** HTTP status codes, named as in RFC 9110 (429 and 431: RFC 6585, 507: RFC 4918). */
export const HttpStatus = {
  Ok: 200,
  Created: 201,
  NoContent: 204,
  NotModified: 304,
  TemporaryRedirect: 307,
  BadRequest: 400,
  Unauthorized: 401,
  Forbidden: 403,
  NotFound: 404,
  MethodNotAllowed: 405,
  RequestTimeout: 408,
  Conflict: 409,
  Gone: 410,
  PreconditionFailed: 412,
  ContentTooLarge: 413,
  MisdirectedRequest: 421,
  UnprocessableContent: 422,
  TooManyRequests: 429,
  HeadersTooLarge: 431,
  InternalServerError: 500,
  BadGateway: 502,
  ServiceUnavailable: 503,
  GatewayTimeout: 504,
  InsufficientStorage: 507,
} as const;

const LOWEST_STATUS = 100;
const HIGHEST_STATUS = 599;

/** Whether a number is a status code (RFC 9110, section 15). Parsers accept any three digits. */
export function isStatusCode(status: number): boolean {
  return status >= LOWEST_STATUS && status <= HIGHEST_STATUS;
}
