import { HttpRequest } from "../../ports/index.js";

const CREDENTIAL_HEADERS = new Set(["authorization", "proxy-authorization", "x-api-key", "api-key", "cookie"]);

/** What of callers' keys reached a stand-in. */
export interface KeySightings {
    /** How many requests held a watched key anywhere in path, headers or body. */
    readonly watchedKeys: number;
    /** How many requests had a header that usually carries a key. */
    readonly credentialHeaders: number;
}

/**
 * Looks for callers' keys in what reaches the stand-ins: no upstream may see one.
 *
 * @example
 * const watch = new KeyWatch();
 * watch.add("sk-test-1");
 */
export class KeyWatch {
    private readonly keys = new Set<string>();
    private watchedKeys = 0;
    private credentialHeaders = 0;

    /** Adds a key to look for. */
    add(key: string): void {
        this.keys.add(key);
    }

    /** Looks through one request. */
    inspect(req: HttpRequest, body: Uint8Array): void {
        if (req.headers.some(([name]) => CREDENTIAL_HEADERS.has(name))) this.credentialHeaders++;
        if (this.keys.size === 0) return;
        const text = [req.path, ...req.headers.flat(), Buffer.from(body).toString()].join("\n");
        for (const key of this.keys) {
            if (text.includes(key)) this.watchedKeys++;
        }
    }

    /** What was seen up to now. */
    sightings(): KeySightings {
        return { watchedKeys: this.watchedKeys, credentialHeaders: this.credentialHeaders };
    }
}
