import { HttpRequest } from "../../ports/index.js";

const CREDENTIAL_HEADERS = new Set(["authorization", "proxy-authorization", "x-api-key", "api-key", "cookie"]);

/** Counts of requests in which callers' keys reached an emulated upstream or the platform. */
export interface KeyLeakCounts {
    /** Occurrences of a watched key in the path, headers or body of a request, one per key and request. */
    readonly watchedKeys: number;
    /** Requests with a header that usually carries credentials. */
    readonly credentialHeaders: number;
}

/**
 * Detects callers' keys in the requests that reach upstreams or the platform; the router must not forward any.
 *
 * @example
 * const keyWatch = new KeyWatch();
 * keyWatch.add("sk-test-1");
 */
export class KeyWatch {
    private readonly watchedKeys = new Set<string>();
    private watchedKeyCount = 0;
    private credentialHeaderCount = 0;

    /** Adds a key to watch for. */
    add(key: string): void {
        this.watchedKeys.add(key);
    }

    /** Checks one request for watched keys and credential headers. */
    inspect(req: HttpRequest, body: Uint8Array): void {
        if (req.headers.some(([name]) => CREDENTIAL_HEADERS.has(name))) this.credentialHeaderCount++;
        if (this.watchedKeys.size === 0) return;
        const text = [req.path, ...req.headers.flat(), Buffer.from(body).toString()].join("\n");
        for (const key of this.watchedKeys) {
            if (text.includes(key)) this.watchedKeyCount++;
        }
    }

    /** Returns the counts so far. */
    counts(): KeyLeakCounts {
        return { watchedKeys: this.watchedKeyCount, credentialHeaders: this.credentialHeaderCount };
    }
}
