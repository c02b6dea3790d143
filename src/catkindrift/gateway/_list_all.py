"""Reads a whole list of objects, page by page."""

from catkindrift.platform import StoreClient, StorePage


async def list_all(
    client: StoreClient,
    kind: str,
    timeout_s: float,
) -> StorePage:
    """Return all objects of a kind as one page.

    Its revision is that of the first page: changes made while further pages
    are read are watched from there.

    Args:
        client: The store.
        kind: Kind of the objects.
        timeout_s: Longest wait for the first part of each page.

    Raises:
        PlatformUnavailableError: There was no usable answer.
    """
    page = await client.list_page(kind, '', timeout_s)
    found = list(page.objects)
    revision = page.revision
    while page.has_more and page.objects:
        after = page.objects[-1].name
        page = await client.list_page(kind, after, timeout_s)
        found.extend(page.objects)
    return StorePage(tuple(found), revision)
