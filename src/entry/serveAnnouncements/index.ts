import { HttpHandler, HttpResponse } from "../../ports/index.js";
import { ANNOUNCE_PATH, Announcement, announcementSchema } from "../../protocol/index.js";
import { readBody } from "../_lib/readBody.js";
import { CallerError } from "../callerError/index.js";

const STATUS_UNAVAILABLE = 503;
const BODY_LIMIT_BYTES = 256 * 1024;

/**
 * Creates the HTTP handler that receives upstreams' announcements.
 *
 * @param accept - Receives each valid announcement. Returns false if it can't be confirmed; the upstream should then announce itself to another
 * process.
 */
export function serveAnnouncements(accept: (announcement: Announcement) => void | Promise<boolean>): HttpHandler {
    return async (req, res) => {
        if (req.method !== "POST" || req.path !== ANNOUNCE_PATH) return sendStatus(res, 404, "not found");
        const body = await readBody(req, BODY_LIMIT_BYTES);
        if (body.isLeft()) return sendBodyError(res, body.extract() as CallerError);
        const announcement = parseAnnouncement(body.unsafeCoerce());
        if (typeof announcement === "string") return sendStatus(res, 400, announcement);
        if (await accept(announcement) === false) return sendStatus(res, 503, "nobody could be told");
        return sendStatus(res, 204);
    };
}

function parseAnnouncement(body: Uint8Array): Announcement | string {
    try {
        const parsed = announcementSchema.safeParse(JSON.parse(Buffer.from(body).toString("utf8")));
        if (parsed.success) return parsed.data;
        const [issue] = parsed.error.issues;
        return `${issue.path.join(".")}: ${issue.message}`;
    }
    catch {
        return "the body is not JSON";
    }
}

/** An upstream whose announcement there is no room for may send it again, here or elsewhere. */
function sendBodyError(res: HttpResponse, { status, message }: CallerError): void {
    if (status === STATUS_UNAVAILABLE) return sendStatus(res, status, message);
    return sendStatus(res, 400, "the body did not come whole");
}

function sendStatus(res: HttpResponse, status: number, problem?: string): void {
    if (problem === undefined) {
        res.head(status, []);
        res.end();
        return;
    }
    res.head(status, [["content-type", "application/json"]]);
    res.end(JSON.stringify({ error: problem }));
}
