import { Logger } from "../logger/index.js";

/** Writes nothing; for tests and benchmarks. */
export class SilentLogger extends Logger {
    debug(): void {}
    info(): void {}
    warn(): void {}
    error(): void {}
}
