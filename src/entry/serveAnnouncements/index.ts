import { HttpHandler, HttpRequest, HttpResponse } from "../../ports/index.js";
import { ANNOUNCE_PATH, Announcement, announcementSchema } from "../../protocol/index.js";
import { readBody } from "../_lib/readBody.js";

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
        const announcement = await readAnnouncement(req);
        if (typeof announcement === "string") return sendStatus(res, 400, announcement);
        if (await accept(announcement) === false) return sendStatus(res, 503, "nobody could be told");
        return sendStatus(res, 204);
    };
}

async function readAnnouncement(req: HttpRequest): Promise<Announcement | string> {
    const body = await readBody(req, BODY_LIMIT_BYTES);
    if (body.isLeft()) return "the body did not come whole";
    try {
        const parsed = announcementSchema.safeParse(JSON.parse(Buffer.from(body.unsafeCoerce()).toString("utf8")));
        if (parsed.success) return parsed.data;
        const [issue] = parsed.error.issues;
        return `${issue.path.join(".")}: ${issue.message}`;
    }
    catch {
        return "the body is not JSON";
    }
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
